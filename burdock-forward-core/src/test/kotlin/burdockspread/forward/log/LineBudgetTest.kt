package burdockspread.forward.log

import burdockspread.forward.Fixture
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LineBudgetTest {
    private val now = Fixture.START
    private val budget = LineBudget(perSecond = 10.0, burst = 20.0)

    @Test
    fun `a flood of one event is bounded and leaves the others alone`() {
        val written = (1..100_000).count { budget.take("answered", now + (it / 10).milliseconds) }
        assertTrue(written in 20..121, "$written lines in ten seconds")
        assertTrue(budget.take("attempt_failed", now + 10.seconds))
    }

    @Test
    fun `what was left out is counted once`() {
        repeat(50) { budget.take("answered", now) }
        assertEquals(mapOf("answered" to 30), budget.report(now))
        assertEquals(emptyMap(), budget.report(now + 5.seconds))
    }

    @Test
    fun `reports come at most once a second`() {
        repeat(21) { budget.take("answered", now) }
        budget.report(now)
        budget.take("answered", now)
        assertEquals(emptyMap(), budget.report(now + 500.milliseconds))
        assertEquals(mapOf("answered" to 1), budget.report(now + 1.seconds))
    }
}
