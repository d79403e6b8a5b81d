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
    fun `output goes on within 3 s of an engine's loss and the budget holds`() {
        val policies = listOf(EngineModel.LATENCY_FIRST, EngineModel.RESOURCES_FIRST)
        for (rate in EngineLoss.DEATHS_PER_HOUR) {
            for (policy in policies) {
                val figures = EngineLoss.core(policy, rate, GENERATIONS)
                val hint = "${policy.mode} at $rate deaths per hour"
                assertEquals(GENERATIONS, figures.completed, hint)
                assertTrue(figures.p99 <= 3.seconds, "$hint: ${figures.p99}")
                assertTrue(figures.extraPerRequest <= EngineLoss.BUDGET_SHARE, hint)
                assertTrue(figures.generatedTwicePerToken <= 0.01, hint)
            }
        }
    }

    @Test
    fun `output goes on within 3 s of an entry host's loss`() {
        for (mode in RecoveryMode.entries) {
            val policy = CopyPolicy.of(mode)
            val figures = EntryLoss.measure(EntryLossWay.PEER_COPIES, policy)
            assertTrue(figures.waitAt(99.0) <= 3.seconds, "$mode: ${figures.waitAt(99.0)}")
            assertTrue(figures.resumed >= figures.lost * 95 / 100, "$mode: ${figures.resumed}")
        }
    }

    @Test
    fun `copies hold back tokens for less than the target between tokens, or save bytes`() {
        val fast = CopyAge.mix(CopyPolicy.of(RecoveryMode.SIDE_BY_SIDE))
        assertTrue(fast.delayAt(95.0) <= 64.milliseconds, "${fast.delayAt(95.0)}")
        assertTrue(fast.bytesPerToken <= 128, "${fast.bytesPerToken}")
        val saving = CopyAge.mix(CopyPolicy.of(RecoveryMode.SAVE_RESOURCES))
        assertTrue(saving.bytesPerToken <= 32, "${saving.bytesPerToken}")
        assertTrue(saving.delayAt(99.0) <= 1.seconds, "${saving.delayAt(99.0)}")
    }

    @Test
    fun `no schedule mixes two continuations, and without the lineage some would`() {
        val figures = ReconnectSchedules.play(schedules = 800)
        assertEquals(0, figures.mixed)
        assertEquals(0, figures.unended)
        assertTrue(figures.resumed > figures.callers.size / 10, "${figures.resumed} resumed")
        assertTrue(figures.restarted > 0 && figures.refused > 0)
        assertTrue(ReconnectSchedules.play(Weakening.NO_LINEAGE, 300).mixed > 0)
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
