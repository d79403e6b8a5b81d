package burdockspread.document.relay

import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertTrue

class RacingEditsTest {
    @Test
    fun `no host goes back, no accepted edit is lost and all hosts end alike`() {
        var accepted = 0
        for (seed in 1..SCHEDULES) {
            runTest {
                val schedule = RacingSchedule(seed)
                try {
                    schedule.run(this)
                } catch (e: AssertionError) {
                    throw AssertionError("seed $seed: ${e.message}", e)
                }
                accepted += schedule.accepted
            }
        }
        assertTrue(accepted > 5 * SCHEDULES, "only $accepted edits were accepted")
    }

    private companion object {
        const val SCHEDULES = 60
    }
}
