package burdockspread.generation

import burdockspread.fakes.engine.ChainedEngine
import burdockspread.id.TargetId
import burdockspread.recovery.RecoveryMode
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Any order of engine faults gives one unbroken chain of tokens, and a true end. */
class GenerationScheduleTest {
    @Test
    fun `random faults never break the chain of tokens`() {
        var completed = 0
        repeat(SEEDS) { seed ->
            val random = Random(seed)
            val mode = RecoveryMode.entries[random.nextInt(RecoveryMode.entries.size)]
            val budget = AttemptBudget { random.nextInt(4) > 0 }
            val bench = GenerationBench(mode, LENGTH, 6, budget = budget).start()
            var steps = 0
            while (!bench.generation.isClosed && steps++ < MAX_STEPS) step(bench, random)
            assertTrue(bench.generation.isClosed, "seed $seed does not end")
            assertNull(ChainedEngine.firstChainBreak(bench.log), "seed $seed")
            val emitted = bench.effects.filterIsInstance<GenerationEffect.Accepted>()
            assertEquals(bench.log, emitted.flatMap { it.tokens }, "seed $seed")
            bench.completed?.let {
                completed++
                assertEquals(bench.log.size, it.totalTokens)
            }
        }
        assertTrue(completed in SEEDS / 4..SEEDS * 9 / 10, "$completed of $SEEDS completed")
    }

    private fun step(bench: GenerationBench, random: Random) {
        val attempt = bench.engines.keys.random(random)
        val engine = bench.engines.getValue(attempt)
        val after = random.nextInt(1, 80).milliseconds
        when (random.nextInt(40)) {
            in 0..29 -> bench.deliver(attempt, random.nextInt(1, 4), after)
            30 -> resend(bench, attempt, engine, random)
            31 -> engine.next(1)
            32 -> bench.fail(attempt, FailureCause.entries.filter { it != REJECTED }.random(random))
            33 -> bench.finish(attempt, null)
            34 -> bench.finish(attempt, FinishReason.LENGTH)
            35 -> if (engine.size > LENGTH / 2) bench.finish(attempt, FinishReason.STOP)
            36 -> bench.send(GenerationInput.TargetDraining(TargetId("t$attempt")))
            37 -> bench.now += 20.seconds
            else -> if (bench.generation.nextDeadline() != null) bench.silence()
        }
    }

    private fun resend(
        bench: GenerationBench,
        attempt: Int,
        engine: ChainedEngine,
        random: Random,
    ) {
        if (engine.size == 0) return
        // An engine knows only what it got as prefix and generated itself.
        val from = random.nextInt(engine.size)
        bench.tokens(attempt, from, engine.slice(from, engine.size))
    }

    private companion object {
        const val SEEDS = 4_000
        const val LENGTH = 40
        const val MAX_STEPS = 2_000
        val REJECTED = FailureCause.REJECTED
    }
}
