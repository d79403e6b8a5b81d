package burdockspread.forward.directory

import burdockspread.id.TargetId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class ChangeJournalTest {
    private val journal = ChangeJournal(id = 7, bound = 3)

    @Test
    fun `who has seen everything gets nothing`() {
        record("a")
        assertEquals(emptySet(), journal.since(7, 1))
    }

    @Test
    fun `who is behind gets each changed target once`() {
        record("a", "b", "a")
        assertEquals(setOf(TargetId("b"), TargetId("a")), journal.since(7, 1))
    }

    @Test
    fun `who is too far behind or asks of another journal gets everything`() {
        record("a", "b", "c", "d")
        assertNull(journal.since(7, 0))
        assertNull(journal.since(8, 4))
        assertNull(journal.since(7, 5))
    }

    private fun record(vararg names: String) = names.forEach { journal.record(TargetId(it)) }
}
