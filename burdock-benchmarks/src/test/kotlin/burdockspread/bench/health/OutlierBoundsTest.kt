package burdockspread.bench.health

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class OutlierBoundsTest {
    @Test
    fun `each fault is detected within five minutes at the request rate of a failure domain`() {
        for (fault in OutlierFault.entries) {
            for (seed in 1..3) {
                val trial = OutlierTrial(TARGETS, REQUESTS_PER_MINUTE, seed)
                val seconds = assertNotNull(trial.detectionSeconds(fault))
                assertTrue(seconds <= 300, "$fault with seed $seed after $seconds s")
            }
        }
    }

    @Test
    fun `a day without faults raises no false alarm`() {
        assertEquals(0, OutlierTrial(TARGETS, requestsPerMinute = 60.0, seed = 1).falseAlarms())
    }

    private companion object {
        const val TARGETS = 36
        const val REQUESTS_PER_MINUTE = 280.0
    }
}
