package burdockspread.bench.health

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class DecayBoundsTest {
    @Test
    fun `each fault is found within five minutes at a domain's rate of requests`() {
        for (fault in DecayFault.entries) {
            for (seed in 1..3) {
                val trial = DecayTrial(TARGETS, PER_MINUTE, seed)
                val seconds = assertNotNull(trial.secondsToFind(fault))
                assertTrue(seconds <= 300, "$fault with seed $seed after $seconds s")
            }
        }
    }

    @Test
    fun `a healthy day has no false alarm`() {
        assertEquals(0, DecayTrial(TARGETS, perMinute = 60.0, seed = 1).falseAlarms())
    }

    private companion object {
        const val TARGETS = 36
        const val PER_MINUTE = 280.0
    }
}
