package burdockspread.document.edit

import burdockspread.document.Documents
import burdockspread.document.PathDifference
import burdockspread.fakes.store.StoreFault
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class DocumentEditorTest {
    private val fixture = EditorFixture()
    private val store get() = fixture.store

    private suspend fun priorityNames() = fixture.document().section("priorities")
        ?.priorities
        ?.prioritiesList
        ?.map { it.name }

    @Test
    fun `the second of two edits of one section gets a conflict with both sides`() = runTest {
        fixture.start(Documents.priorities("fast"))
        val mine = Documents.priorities("fast", deadline = "0.5s", version = 1)
        val theirs = Documents.priorities("fast", "slow", version = 1)
        assertIs<EditResult.Accepted>(fixture.apply(theirs))
        val conflict = assertIs<EditResult.Conflict>(fixture.apply(mine))
        assertEquals(2, conflict.current)
        val path = "priorities.priorities[fast].firstTokenDeadline"
        val deadline = conflict.differences.single { it.path == path }
        assertEquals(PathDifference(path, "0.64s", "0.64s", "0.5s"), deadline)
        assertEquals(listOf("fast", "slow"), priorityNames())
    }

    @Test
    fun `edits of two sections that are invalid together are never both accepted`() = runTest {
        fixture.start(
            Documents.priorities("fast", "slow"),
            Documents.organisations("acme" to "slow"),
        )
        val removal = fixture.edit(Documents.priorities("slow", version = 1))
        val use = fixture.edit(Documents.organisations("acme" to "fast", version = 1))
        val racing = fixture.editorOn(
            BeforeManifest(store) { assertIs<EditResult.Accepted>(fixture.editor.apply(removal)) },
        )
        val refused = assertIs<EditResult.Invalid>(racing.apply(use))
        assertEquals(
            "organisations: organisations.organisations[acme].defaultPriority: " +
                "no section defines priority \"fast\"",
            refused.problems.head.toString(),
        )
    }

    @Test
    fun `concurrent consistent edits of two sections are both accepted`() = runTest {
        fixture.start(Documents.priorities("fast"))
        val other = fixture.edit(Documents.models("m1"))
        val racing = fixture.editorOn(
            BeforeManifest(store) { assertIs<EditResult.Accepted>(fixture.editor.apply(other)) },
        )
        val edit = fixture.edit(Documents.priorities("slow", version = 1))
        assertEquals(EditResult.Accepted(3), racing.apply(edit))
        assertEquals(2, fixture.document().version("models"))
    }

    @Test
    fun `an edit whose response is lost is accepted once`() = runTest {
        fixture.start()
        fixture.failNext(
            StoreFault.NONE,
            StoreFault.ANSWER_LOST,
            StoreFault.NONE,
            StoreFault.ANSWER_LOST,
        )
        assertEquals(EditResult.Accepted(2), fixture.apply(Documents.priorities("fast")))
        assertEquals(2, fixture.document().manifest.generation)
    }

    @Test
    fun `a delayed write of the manifest has no effect after another edit`() = runTest {
        fixture.start(Documents.priorities("fast"))
        val outage = Array(200) { StoreFault.CALL_LOST }
        fixture.failNext(StoreFault.NONE, StoreFault.NONE, StoreFault.CALL_LATE, *outage)
        val slow = fixture.edit(Documents.priorities("slow", version = 1), id = "slow")
        assertIs<EditResult.Unresolved>(fixture.editor.apply(slow))
        fixture.failNext()
        assertIs<EditResult.Accepted>(fixture.apply(Documents.priorities("quick", version = 1)))
        store.deliverDelayedCalls()
        assertEquals(listOf("quick"), priorityNames())
        assertIs<EditResult.Conflict>(fixture.editor.apply(slow))
    }

    @Test
    fun `repeating an unresolved edit finds that it was accepted`() = runTest {
        fixture.start(Documents.priorities("fast"))
        val outage = Array(200) { StoreFault.CALL_LOST }
        fixture.failNext(StoreFault.NONE, StoreFault.NONE, StoreFault.ANSWER_LOST, *outage)
        val edit = fixture.edit(Documents.priorities("slow", version = 1))
        assertIs<EditResult.Unresolved>(fixture.editor.apply(edit))
        fixture.failNext()
        assertIs<EditResult.Accepted>(fixture.apply(Documents.models("m1")))
        assertEquals(EditResult.Accepted(2), fixture.editor.apply(edit))
    }

    @Test
    fun `an edit with an outdated base version is refused`() = runTest {
        fixture.start(Documents.priorities("fast"))
        assertIs<EditResult.Accepted>(fixture.apply(Documents.priorities("quick", version = 1)))
        assertIs<EditResult.Conflict>(fixture.apply(Documents.priorities("fast", version = 1)))
        assertIs<EditResult.Conflict>(fixture.apply(Documents.priorities("fast")))
    }

    @Test
    fun `only the owner may edit a section`() = runTest {
        fixture.start(Documents.priorities("fast"))
        val edit = Documents.priorities("slow", version = 1)
        assertEquals(
            EditResult.NotOwner("priorities", "ops"),
            fixture.apply(edit, team = "sales"),
        )
    }

    @Test
    fun `every problem is reported with its section and path`() = runTest {
        fixture.start(Documents.models("m1"))
        val targets = arrayOf(
            Documents.engine("t1", "m2", "10.0.0.1:80"),
            Documents.engine("t2", "m1", "10.0.0.256:80"),
            Documents.engine("t3", "m1", "10.0.0.1:80"),
        )
        val invalid = assertIs<EditResult.Invalid>(
            fixture.apply(
                Documents.domain("zone-a", *targets),
                Documents.priorities("fast", deadline = "9000s"),
            ),
        )
        assertEquals(
            listOf(
                "zone-a: failureDomain.targets[t2].address",
                "priorities: priorities.priorities[fast]",
            ),
            invalid.problems.take(2).map {
                "${it.section}: ${it.path.removeSuffix(".firstTokenDeadline")}"
            },
        )
    }

    @Test
    fun `a rollback is a new edit and the history is bounded`() = runTest {
        fixture.start(Documents.priorities("p0"))
        for (i in 1..30) {
            val text = Documents.priorities("p$i", version = i.toLong())
            assertEquals(EditResult.Accepted(i + 1L), fixture.apply(text))
        }
        val content = assertNotNull(fixture.document().contents["priorities"])
        assertEquals(SectionHistory.MAX_REVISIONS, content.historyCount)
        val old = assertNotNull(SectionHistory.at(content, 25))
        assertEquals("p24", old.priorities.prioritiesList.single().name)
        val change = EditChange.Write(old.toBuilder().setVersion(31).build())
        val rollback = fixture.edit().copy(changes = persistentListOf(change))
        assertEquals(EditResult.Accepted(32), fixture.editor.apply(rollback))
        assertEquals(listOf("p24"), priorityNames())
        assertTrue(store.peekAll().size <= 5, "orphaned contents are deleted")
    }
}
