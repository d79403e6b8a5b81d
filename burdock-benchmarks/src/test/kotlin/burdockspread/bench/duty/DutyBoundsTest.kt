/** Lease limits at the target fleet size, with fixed seeds in virtual time. */
package burdockspread.bench.duty

import burdockspread.duty.LeaseSettings
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class DutyBoundsTest {
    private val trial = DutyTrial(DutyTrial.SEED, LeaseSettings())

    @Test
    fun `duties of 38 failure domains use at most 50 writes and 100 reads per second`() {
        val calls = trial.measureCalls(DutyPlan.CHOSEN.duties(), contested = false)
        assertTrue(calls.writes <= 50, "${calls.writes} writes/s")
        assertTrue(calls.reads <= 100, "${calls.reads} reads/s")
    }

    @Test
    fun `duties of a crashed host are taken over within lease duration, drift and one poll`() {
        val takeovers = trial.measureCrashes(3, 8.seconds)
        assertTrue(takeovers.longest <= 22.seconds, "${takeovers.longest}")
    }
}
