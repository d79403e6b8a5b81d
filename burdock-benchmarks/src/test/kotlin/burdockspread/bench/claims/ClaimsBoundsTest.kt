package burdockspread.bench.claims

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ClaimsBoundsTest {
    @Test
    fun `no random schedule violates a guarantee`() {
        val totals = ScheduleTotals.of(Ablation.NONE, FIRST_SEED, SCHEDULES, EVENTS)
        assertEquals(emptyMap(), totals.violations, "first seed ${totals.firstFailedSeed}")
        assertEquals(1, totals.maxSendsPerKey)
    }

    @Test
    fun `each ablation violates a guarantee`() {
        val ineffective = (Ablation.entries - Ablation.NONE).filter {
            ScheduleTotals.of(it, FIRST_SEED, SCHEDULES, EVENTS).failedSchedules == 0
        }
        assertEquals(emptyList(), ineffective)
    }

    @Test
    fun `holders of 16 shards sustain four times the rate of one object per booking`() {
        val report = run(hosts = 520, WriteMode.SHARD_HOLDER, bookingsPerSecond = 400)
        assertTrue(report.isSustained, report.line())
        assertTrue(report.waitP99Millis <= MAX_GROUP_COMMIT_WAIT_MILLIS, report.line())
    }

    @Test
    fun `hosts that write for themselves sustain the rate of one object per booking`() {
        val report = run(hosts = 15, WriteMode.EACH_HOST, bookingsPerSecond = 100)
        assertTrue(report.isSustained, report.line())
        assertTrue(report.readsPerSecond <= MAX_STORE_READS_PER_SECOND, report.line())
    }

    @Test
    fun `new host replays ten seconds of bookings in few reads`() {
        val footprint = Footprint.measure(bookingsPerSecond = 100)
        assertTrue(footprint.replayReads <= footprint.bookings / 50, footprint.line())
        assertTrue(footprint.storeBytes <= footprint.bookings * 2_000, footprint.line())
    }

    private fun run(hosts: Int, writeMode: WriteMode, bookingsPerSecond: Int): CommitReport =
        CommitSimulation(CommitScenario(hosts, 16, writeMode, bookingsPerSecond)).run()

    private companion object {
        const val FIRST_SEED = 1L
        const val SCHEDULES = 2_000
        const val EVENTS = 120
        const val MAX_GROUP_COMMIT_WAIT_MILLIS = 250.0 // A tenth of how long callers wait.
        const val MAX_STORE_READS_PER_SECOND = 2_000
    }
}
