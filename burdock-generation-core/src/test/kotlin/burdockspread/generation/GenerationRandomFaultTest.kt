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

/** Guards against gaps, duplicates and generations that never end under random engine faults. */
class GenerationRandomFaultTest {
    @Test
    fun `random faults cause no gaps or duplicates`() {
        var completed = 0
        repeat(SEEDS) { seed ->
            val random = Random(seed)
            val mode = RecoveryMode.entries[random.nextInt(RecoveryMode.entries.size)]
            val budget = AttemptBudget { random.nextInt(4) > 0 }
            val driver = GenerationDriver(mode, LENGTH, 6, budget = budget).start()
            var steps = 0
            while (!driver.generation.isClosed && steps++ < MAX_STEPS) step(driver, random)
            assertTrue(driver.generation.isClosed, "seed $seed does not terminate")
            assertNull(ChainedEngine.firstChainBreak(driver.log), "seed $seed")
            val emitted = driver.effects.filterIsInstance<GenerationEffect.Accepted>()
            assertEquals(driver.log, emitted.flatMap { it.tokens }, "seed $seed")
            driver.completed?.let {
                completed++
                assertEquals(driver.log.size, it.totalTokens)
            }
        }
        assertTrue(completed in SEEDS / 4..SEEDS * 9 / 10, "$completed of $SEEDS completed")
    }

    private fun step(driver: GenerationDriver, random: Random) {
        val attempt = driver.engines.keys.random(random)
        val engine = driver.engines.getValue(attempt)
        val after = random.nextInt(1, 80).milliseconds
        when (random.nextInt(40)) {
            in 0..29 -> driver.deliver(attempt, random.nextInt(1, 4), after)
            30 -> resend(driver, attempt, engine, random)
            31 -> engine.next(1)
            32 -> driver.fail(
                attempt,
                FailureCause.entries.filter { it != REJECTED }.random(random),
            )
            33 -> driver.finish(attempt, null)
            34 -> driver.finish(attempt, FinishReason.LENGTH)
            35 -> if (engine.size > LENGTH / 2) driver.finish(attempt, FinishReason.STOP)
            36 -> driver.send(GenerationInput.TargetDraining(TargetId("t$attempt")))
            37 -> driver.now += 20.seconds
            else -> if (driver.generation.nextDeadline() != null) driver.advanceToDeadline()
        }
    }

    private fun resend(
        driver: GenerationDriver,
        attempt: Int,
        engine: ChainedEngine,
        random: Random,
    ) {
        if (engine.size == 0) return
        // An engine knows only the prefix that it was given and the tokens that it generated.
        val from = random.nextInt(engine.size)
        driver.tokens(attempt, from, engine.slice(from, engine.size))
    }

    private companion object {
        const val SEEDS = 4_000
        const val LENGTH = 40
        const val MAX_STEPS = 2_000
        val REJECTED = FailureCause.REJECTED
    }
}
