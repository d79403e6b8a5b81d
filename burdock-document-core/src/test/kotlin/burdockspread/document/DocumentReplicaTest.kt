package burdockspread.document

import burdockspread.id.OrganisationId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull

class DocumentReplicaTest {
    private val replica = DocumentReplica()
    private val root = Documents.root("priorities", "organisations", "models", "zone-a")

    private fun priorityOf(organisation: String): String? =
        replica.view().organisation(OrganisationId(organisation))?.defaultPriority?.value

    @Test
    fun `sections become active in whatever order they arrive`() {
        val organisations = Documents.organisations("acme" to "fast")
        assertIs<OfferResult.Waiting>(replica.offer("organisations", 3, organisations))
        assertIs<OfferResult.Waiting>(replica.offer("priorities", 2, Documents.priorities("fast")))
        assertIs<OfferResult.Applied>(replica.offer("root", 1, root))
        assertEquals("fast", priorityOf("acme"))
        assertEquals(emptyMap(), replica.versions().waiting)
    }

    @Test
    fun `a stale relay or replica does not restore an old version`() {
        replica.offer("root", 1, root)
        replica.offer("priorities", 2, Documents.priorities("fast", "slow"))
        replica.offer("organisations", 3, Documents.organisations("acme" to "fast"))
        replica.offer("organisations", 5, Documents.organisations("acme" to "slow"))
        val old = replica.offer("organisations", 3, Documents.organisations("acme" to "fast"))
        assertEquals(OfferResult.Stale(5), old)
        assertEquals("slow", priorityOf("acme"))
    }

    @Test
    fun `an inconsistent section waits and the others stay active`() {
        replica.offer("root", 1, root)
        replica.offer("priorities", 2, Documents.priorities("fast"))
        replica.offer("organisations", 3, Documents.organisations("acme" to "fast"))
        assertIs<OfferResult.Waiting>(
            replica.offer("priorities", 5, Documents.priorities("slow")),
        )
        assertEquals("fast", priorityOf("acme"))
        assertIs<OfferResult.Applied>(
            replica.offer("organisations", 4, Documents.organisations("acme" to "slow")),
        )
        assertEquals("slow", priorityOf("acme"))
    }

    @Test
    fun `a removed section stays removed`() {
        replica.offer("root", 1, root)
        replica.offer("models", 2, Documents.models("m1"))
        assertIs<OfferResult.Applied>(replica.offer("models", 4, ""))
        assertIs<OfferResult.Stale>(replica.offer("models", 2, Documents.models("m1")))
        assertNull(replica.view().models.firstOrNull())
    }

    @Test
    fun `malformed JSON is dropped`() {
        assertIs<OfferResult.Invalid>(replica.offer("models", 2, """{"name": """))
        assertIs<OfferResult.Invalid>(replica.offer("models", 2, Documents.models("M 1")))
        assertEquals(0, replica.versions().latest("models"))
    }
}
