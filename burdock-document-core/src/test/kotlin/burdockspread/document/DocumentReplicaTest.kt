package burdockspread.document

import burdockspread.id.OrganisationId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull

class DocumentReplicaTest {
    private val holder = DocumentReplica()
    private val root = Documents.root("priorities", "organisations", "models", "zone-a")

    private fun priorityOf(organisation: String): String? =
        holder.view().organisation(OrganisationId(organisation))?.defaultPriority?.value

    @Test
    fun `sections come into force in whichever order they arrive`() {
        val organisations = Documents.organisations("acme" to "fast")
        assertIs<OfferResult.Waiting>(holder.offer("organisations", 3, organisations))
        assertIs<OfferResult.Waiting>(holder.offer("priorities", 2, Documents.priorities("fast")))
        assertIs<OfferResult.Applied>(holder.offer("root", 1, root))
        assertEquals("fast", priorityOf("acme"))
        assertEquals(emptyMap(), holder.versions().waiting)
    }

    @Test
    fun `an old relay or replica brings nothing back`() {
        holder.offer("root", 1, root)
        holder.offer("priorities", 2, Documents.priorities("fast", "slow"))
        holder.offer("organisations", 3, Documents.organisations("acme" to "fast"))
        holder.offer("organisations", 5, Documents.organisations("acme" to "slow"))
        val old = holder.offer("organisations", 3, Documents.organisations("acme" to "fast"))
        assertEquals(OfferResult.Stale(5), old)
        assertEquals("slow", priorityOf("acme"))
    }

    @Test
    fun `a section that does not fit waits and leaves the others in force`() {
        holder.offer("root", 1, root)
        holder.offer("priorities", 2, Documents.priorities("fast"))
        holder.offer("organisations", 3, Documents.organisations("acme" to "fast"))
        assertIs<OfferResult.Waiting>(
            holder.offer("priorities", 5, Documents.priorities("slow")),
        )
        assertEquals("fast", priorityOf("acme"))
        assertIs<OfferResult.Applied>(
            holder.offer("organisations", 4, Documents.organisations("acme" to "slow")),
        )
        assertEquals("slow", priorityOf("acme"))
    }

    @Test
    fun `a removed section stays removed`() {
        holder.offer("root", 1, root)
        holder.offer("models", 2, Documents.models("m1"))
        assertIs<OfferResult.Applied>(holder.offer("models", 4, ""))
        assertIs<OfferResult.Stale>(holder.offer("models", 2, Documents.models("m1")))
        assertNull(holder.view().models.firstOrNull())
    }

    @Test
    fun `a broken text is dropped`() {
        assertIs<OfferResult.Invalid>(holder.offer("models", 2, """{"name": """))
        assertIs<OfferResult.Invalid>(holder.offer("models", 2, Documents.models("M 1")))
        assertEquals(0, holder.versions().held("models"))
    }
}
