package burdockspread.forward.directory

import burdockspread.id.TargetId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class ChangeJournalTest {
    private val journal = ChangeJournal(id = 7, capacity = 3)

    @Test
    fun `who has seen everything gets nothing`() {
        record("a")
        assertEquals(emptySet(), journal.changedSince(7, 1))
    }

    @Test
    fun `who is behind gets each changed target once`() {
        record("a", "b", "a")
        assertEquals(setOf(TargetId("b"), TargetId("a")), journal.changedSince(7, 1))
    }

    @Test
    fun `who is too far behind or asks of another journal gets everything`() {
        record("a", "b", "c", "d")
        assertNull(journal.changedSince(7, 0))
        assertNull(journal.changedSince(8, 4))
        assertNull(journal.changedSince(7, 5))
    }

    private fun record(vararg names: String) = names.forEach { journal.record(TargetId(it)) }
}
