package burdockspread.buffer

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class BufferBudgetTest {
    private val budget = BufferBudget(capacity = 100, freeBytes = 10)

    @Test
    fun `an account keeps its free share whatever the others keep`() {
        assertTrue(budget.open().tryKeep(110))
        assertEquals(100, budget.drawnBytes)
        repeat(50) { assertTrue(budget.open().tryKeep(10)) }
        assertFalse(budget.open().tryKeep(11))
    }

    @Test
    fun `what does not fit changes nothing and may be asked for again`() {
        val first = budget.open()
        val second = budget.open()
        assertTrue(first.tryKeep(70))
        assertTrue(second.tryKeep(50))
        assertFalse(second.tryKeep(51))
        assertEquals(100, budget.drawnBytes)
        first.release()
        assertTrue(second.tryKeep(51))
        second.release()
        assertEquals(0, budget.drawnBytes)
    }

    @Test
    fun `an account may always shrink`() {
        val account = budget.open()
        assertTrue(account.tryKeep(110))
        assertTrue(account.tryKeep(109))
        assertEquals(99, budget.drawnBytes)
    }
}
