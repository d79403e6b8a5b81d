/** Bounds of the leases from the target size, over fixed seeds and virtual time. */
package burdockspread.bench.duty

import burdockspread.duty.LeaseSettings
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class DutyBoundsTest {
    private val trial = DutyTrial(DutyTrial.SEED, LeaseSettings())

    @Test
    fun `the duties of 38 failure domains take at most 50 writes and 100 reads a second`() {
        val calls = trial.calls(DutyPlan.CHOSEN.duties(), allAsk = false)
        assertTrue(calls.writes <= 50, "${calls.writes} writes/s")
        assertTrue(calls.reads <= 100, "${calls.reads} reads/s")
    }

    @Test
    fun `the duties of a crashed host are held again within duration, drift and one poll`() {
        val takeovers = trial.crashes(3, 8.seconds)
        assertTrue(takeovers.longest <= 22.seconds, "${takeovers.longest}")
    }
}
