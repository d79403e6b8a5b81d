package burdockspread.bench.claims

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

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

    @Test
    fun `holders of 16 shards carry four times what an object for each booking does`() {
        val report = run(hosts = 520, Writers.SHARD_HOLDER, bookingsPerSecond = 400)
        assertTrue(report.isCarried, report.line())
        assertTrue(report.waitP99Millis <= GROUP_COMMIT_WAIT_MILLIS, report.line())
    }

    @Test
    fun `hosts that write for themselves carry what an object for each booking does`() {
        val report = run(hosts = 15, Writers.EACH_HOST, bookingsPerSecond = 100)
        assertTrue(report.isCarried, report.line())
        assertTrue(report.readsPerSecond <= STORE_READS_PER_SECOND, report.line())
    }

    @Test
    fun `a host of today replays ten seconds of bookings in few reads`() {
        val footprint = Footprint.measure(bookingsPerSecond = 100)
        assertTrue(footprint.replayReads <= footprint.bookings / 50, footprint.line())
        assertTrue(footprint.storeBytes <= footprint.bookings * 2_000, footprint.line())
    }

    private fun run(hosts: Int, writers: Writers, bookingsPerSecond: Int): CommitReport =
        CommitSimulation(CommitScenario(hosts, 16, writers, bookingsPerSecond)).run()

    private companion object {
        const val FIRST_SEED = 1L
        const val SCHEDULES = 2_000
        const val EVENTS = 120
        const val GROUP_COMMIT_WAIT_MILLIS = 250.0 // A tenth of the callers' patience.
        const val STORE_READS_PER_SECOND = 2_000
    }
}
