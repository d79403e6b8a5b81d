package burdockspread.bench.generation

import burdockspread.journal.CopyPolicy
import burdockspread.recovery.RecoveryMode
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class GenerationBoundsTest {
    @Test
    fun `output resumes within 3 s of an engine failure and the attempt budget holds`() {
        val policies = listOf(EngineModel.LATENCY_FIRST, EngineModel.RESOURCES_FIRST)
        for (rate in EngineLoss.FAILURES_PER_HOUR) {
            for (policy in policies) {
                val stats = EngineLoss.runPolicy(policy, rate, GENERATIONS)
                val hint = "${policy.mode} at $rate deaths per hour"
                assertEquals(GENERATIONS, stats.completed, hint)
                assertTrue(stats.p99 <= 3.seconds, "$hint: ${stats.p99}")
                assertTrue(stats.extraPerRequest <= EngineLoss.BUDGET_RATIO, hint)
                assertTrue(stats.duplicatesPerToken <= 0.01, hint)
            }
        }
    }

    @Test
    fun `output resumes within 3 s of an entry host failure`() {
        for (mode in RecoveryMode.entries) {
            val policy = CopyPolicy.of(mode)
            val stats = EntryLoss.measure(EntryRecovery.PEER_COPIES, policy)
            assertTrue(stats.pauseAt(99.0) <= 3.seconds, "$mode: ${stats.pauseAt(99.0)}")
            assertTrue(stats.resumed >= stats.hostLosses * 95 / 100, "$mode: ${stats.resumed}")
        }
    }

    @Test
    fun `copying delays tokens by less than the token latency objective, or saves bytes`() {
        val sideBySide = CopyAge.mix(CopyPolicy.of(RecoveryMode.SIDE_BY_SIDE))
        assertTrue(sideBySide.delayAt(95.0) <= 64.milliseconds, "${sideBySide.delayAt(95.0)}")
        assertTrue(sideBySide.bytesPerToken <= 128, "${sideBySide.bytesPerToken}")
        val saveResources = CopyAge.mix(CopyPolicy.of(RecoveryMode.SAVE_RESOURCES))
        assertTrue(saveResources.bytesPerToken <= 32, "${saveResources.bytesPerToken}")
        assertTrue(saveResources.delayAt(99.0) <= 1.seconds, "${saveResources.delayAt(99.0)}")
    }

    @Test
    fun `no schedule mixes tokens of two branches, but some do when lineage checks are omitted`() {
        val stats = ReconnectSchedules.run(schedules = 800)
        assertEquals(0, stats.mixed)
        assertEquals(0, stats.stuck)
        assertTrue(stats.resumed > stats.callers.size / 10, "${stats.resumed} resumed")
        assertTrue(stats.restarted > 0 && stats.refused > 0)
        assertTrue(ReconnectSchedules.run(OmittedRule.NO_LINEAGE, 300).mixed > 0)
    }

    @Test
    fun `a copied generation of 4,000 tokens takes at most 48 KiB on each host`() {
        assertTrue(GenerationCosts.logBytes(4_000) <= 48 * 1024)
        assertTrue(GenerationCosts.copyBytes(4_000) <= 48 * 1024)
    }

    private companion object {
        const val GENERATIONS = 150
    }
}
