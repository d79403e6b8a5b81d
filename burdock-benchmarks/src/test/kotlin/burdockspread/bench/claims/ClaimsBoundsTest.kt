package burdockspread.bench.claims

import kotlin.test.Test
import kotlin.test.assertEquals

class ClaimsBoundsTest {
    @Test
    fun `no random schedule breaks a promise`() {
        val totals = ScheduleTotals.of(Weakening.NONE, FIRST_SEED, SCHEDULES, EVENTS)
        assertEquals(emptyMap(), totals.violations, "first seed ${totals.firstBrokenSeed}")
        assertEquals(1, totals.mostSends)
    }

    @Test
    fun `leaving any mechanism out breaks a promise`() {
        val harmless = (Weakening.entries - Weakening.NONE).filter {
            ScheduleTotals.of(it, FIRST_SEED, SCHEDULES, EVENTS).broken == 0
        }
        assertEquals(emptyList(), harmless)
    }

    private companion object {
        const val FIRST_SEED = 1L
        const val SCHEDULES = 2_000
        const val EVENTS = 120
    }
}
