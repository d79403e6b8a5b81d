package burdockspread.forward.directory

import burdockspread.id.TargetId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class ChangeJournalTest {
    private val journal = ChangeJournal(id = 7, capacity = 3)

    @Test
    fun `an up-to-date reader gets no changes`() {
        record("a")
        assertEquals(emptySet(), journal.changedSince(7, 1))
    }

    @Test
    fun `a reader that is behind gets each changed target once`() {
        record("a", "b", "a")
        assertEquals(setOf(TargetId("b"), TargetId("a")), journal.changedSince(7, 1))
    }

    @Test
    fun `a reader too far behind or of another journal gets null`() {
        record("a", "b", "c", "d")
        assertNull(journal.changedSince(7, 0))
        assertNull(journal.changedSince(8, 4))
        assertNull(journal.changedSince(7, 5))
    }

    private fun record(vararg names: String) = names.forEach { journal.record(TargetId(it)) }
}
