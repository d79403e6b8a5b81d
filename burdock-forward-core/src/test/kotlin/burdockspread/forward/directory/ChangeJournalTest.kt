package burdockspread.forward.directory

import burdockspread.id.TargetId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class ChangeJournalTest {
    private val journal = ChangeJournal(capacity = 3)

    @Test
    fun `a reader that is behind gets each changed target once, with its last change`() {
        journal.onSkipped(0, 4)
        record("a" to 5, "b" to 6, "a" to 8)
        assertEquals(mapOf("a" to 8L, "b" to 6L), changedSince(4))
        assertEquals(mapOf("a" to 8L), changedSince(6))
        assertEquals(emptyMap(), changedSince(8))
        assertEquals(emptyMap(), changedSince(20))
    }

    @Test
    fun `a reader that is too far behind gets everything`() {
        assertNull(changedSince(0))
        journal.onSkipped(0, 4)
        assertNull(changedSince(3))
        record("a" to 5, "b" to 6, "c" to 7, "d" to 8)
        assertNull(changedSince(4))
        assertEquals(setOf("b", "c", "d"), changedSince(5)?.keys)
    }

    // Guards against targets that a list passed over, and which a reader of that time still has.
    @Test
    fun `a reader within skipped versions gets everything`() {
        journal.onSkipped(0, 4)
        journal.onSkipped(4, 9)
        record("a" to 9)
        assertEquals(setOf("a"), changedSince(4)?.keys)
        listOf(5L, 8L).forEach { assertNull(changedSince(it)) }
        assertEquals(emptyMap(), changedSince(9))
    }

    private fun record(vararg changes: Pair<String, Int>) =
        changes.forEach { (name, version) -> journal.record(TargetId(name), version.toLong()) }

    private fun changedSince(version: Long) =
        journal.changedSince(version)?.mapKeys { it.key.value }
}
