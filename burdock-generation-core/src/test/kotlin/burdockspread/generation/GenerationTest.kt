package burdockspread.generation

import burdockspread.error.ErrorCode
import burdockspread.error.ExecutionOutcome
import burdockspread.fakes.engine.ChainedEngine
import burdockspread.id.TargetId
import burdockspread.recovery.RecoveryMode.RESUME_EARLY
import burdockspread.recovery.RecoveryMode.SAVE_RESOURCES
import burdockspread.recovery.RecoveryMode.SIDE_BY_SIDE
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class GenerationTest {
    @Test
    fun `a generation continues at once from the next offset when its engine dies`() {
        val driver = GenerationDriver().start()
        driver.deliver(1, 7)
        driver.fail(1, FailureCause.CONNECTION_LOST)
        val second = driver.opened.last()
        assertEquals(driver.log, second.prefix)
        assertEquals(13, second.maxTokens)
        assertEquals(setOf(TargetId("t1")), second.excludedTargets.toSet())
        driver.deliver(2, 13)
        driver.finish(2, FinishReason.LENGTH)
        assertWhole(driver, 20)
    }

    @Test
    fun `a frozen engine is replaced after its expected latency has passed`() {
        val driver = GenerationDriver().start()
        repeat(10) { driver.deliver(1, 1, 30.milliseconds) }
        val frozenAt = driver.now
        driver.advanceToDeadline()
        assertTrue(driver.now - frozenAt in 200.milliseconds..1.seconds)
        assertEquals(listOf(1), driver.cancelled)
        assertEquals(2, driver.opened.size)
    }

    @Test
    fun `tokens of an engine that resumes after its replacement are dropped and counted`() {
        val driver = GenerationDriver().start()
        driver.deliver(1, 5)
        driver.advanceToDeadline()
        driver.deliver(1, 3)
        driver.deliver(2, 2)
        driver.deliver(1, 4)
        driver.finish(1, FinishReason.STOP)
        assertEquals(7, driver.log.size)
        assertEquals(7, driver.dropped[DropReason.LATE])
        assertNull(ChainedEngine.firstChainBreak(driver.log))
    }

    @Test
    fun `an engine that is very slow but below the stall timeout is replaced`() {
        val driver = GenerationDriver(maxTokens = 400).start()
        repeat(200) { driver.deliver(1, 1, 10.milliseconds) }
        var slow = 0
        while (driver.opened.size == 1 && slow < 100) {
            repeat(4) {
                driver.times.recordInterTokenLatency(TargetId("t9"), MODEL, 10.milliseconds)
            }
            driver.deliver(1, 1, 150.milliseconds)
            slow++
        }
        assertTrue(slow in 10..40, "replaced after $slow slow tokens")
        assertEquals(listOf(1), driver.cancelled)
    }

    @Test
    fun `another engine delivers the rest when an engine ends with fewer tokens than stated`() {
        for (reason in listOf(null, FinishReason.LENGTH)) {
            val driver = GenerationDriver().start()
            driver.deliver(1, 6)
            driver.finish(1, reason)
            assertEquals(6, driver.opened.last().prefix.size)
            driver.deliver(2, 14)
            driver.finish(2, FinishReason.LENGTH)
            assertWhole(driver, 20)
        }
        val miscounted = GenerationDriver().start()
        miscounted.deliver(1, 6)
        miscounted.finish(1, FinishReason.STOP, total = 9)
        assertEquals(2, miscounted.opened.size)
    }

    @Test
    fun `tokens that an engine resends are not repeated`() {
        val driver = GenerationDriver().start()
        driver.deliver(1, 6)
        val engine = driver.engines.getValue(1)
        driver.tokens(1, 2, engine.slice(2, 6))
        driver.tokens(1, 4, engine.slice(4, 6) + engine.next(14))
        driver.finish(1, FinishReason.LENGTH)
        assertEquals(6, driver.dropped[DropReason.DUPLICATE])
        assertWhole(driver, 20)
    }

    @Test
    fun `an attempt whose engine skips an offset is cancelled`() {
        val driver = GenerationDriver().start()
        driver.deliver(1, 3)
        driver.engines.getValue(1).next(1)
        driver.deliver(1, 2)
        assertEquals(2, driver.dropped[DropReason.GAP])
        assertEquals(listOf(1), driver.cancelled)
        assertEquals(3, driver.opened.last().prefix.size)
    }

    @Test
    fun `with side-by-side attempts the first to deliver wins and the other is cancelled`() {
        for (winner in 1..2) {
            val driver = GenerationDriver(SIDE_BY_SIDE).start()
            driver.deliver(1, 5)
            driver.advanceToDeadline()
            assertEquals(emptyList(), driver.cancelled)
            driver.deliver(winner, 3)
            driver.deliver(3 - winner, 4)
            assertEquals(listOf(3 - winner), driver.cancelled)
            assertEquals(4, driver.dropped[DropReason.LATE])
            driver.deliver(winner, 12)
            driver.finish(winner, FinishReason.LENGTH)
            assertWhole(driver, 20)
        }
    }

    @Test
    fun `resource-saving recovery waits longer and prefers a cached prefix`() {
        val waits = listOf(RESUME_EARLY, SAVE_RESOURCES).map { mode ->
            val driver = GenerationDriver(mode).start()
            repeat(10) { driver.deliver(1, 1, 30.milliseconds) }
            val before = driver.now
            driver.advanceToDeadline()
            assertEquals(mode == SAVE_RESOURCES, driver.opened.last().preferCachedPrefix)
            driver.now - before
        }
        assertTrue(waits[1] > waits[0] * 1.5, waits.toString())
    }

    @Test
    fun `an exhausted budget bounds extra attempts and the refusal states the execution outcome`() {
        val neverRan = GenerationDriver(budget = { false }).start()
        neverRan.fail(1, FailureCause.NOT_CONNECTED)
        assertEquals(ErrorCode.RETRY_BUDGET_SPENT, neverRan.refusal?.code)

        val mayHaveRun = GenerationDriver(budget = { false }).start()
        mayHaveRun.fail(1, FailureCause.CONNECTION_LOST)
        while (!mayHaveRun.generation.isClosed) mayHaveRun.advanceToDeadline()
        assertEquals(ErrorCode.ATTEMPTS_EXHAUSTED, mayHaveRun.refusal?.code)
        assertEquals(ExecutionOutcome.INCOMPLETE, mayHaveRun.refusal?.executionOutcome)
        assertEquals(1, mayHaveRun.opened.size)
    }

    @Test
    fun `a stalled attempt continues while the budget is exhausted`() {
        val driver = GenerationDriver(budget = { false }).start()
        driver.deliver(1, 5)
        driver.advanceToDeadline()
        driver.deliver(1, 15)
        driver.finish(1, FinishReason.LENGTH)
        assertWhole(driver, 20)
    }

    @Test
    fun `a generation fails after the maximum number of failed attempts`() {
        val driver = GenerationDriver(maxAttempts = 3).start()
        repeat(3) {
            driver.deliver(it + 1, 1)
            driver.fail(it + 1, FailureCause.CONNECTION_LOST)
        }
        assertEquals(ErrorCode.ATTEMPTS_EXHAUSTED, driver.refusal?.code)
        assertEquals(3, driver.opened.size)
    }

    @Test
    fun `a generation on a draining engine migrates without loss and without the budget`() {
        val driver = GenerationDriver(budget = { false }).start()
        driver.deliver(1, 8)
        driver.send(GenerationInput.TargetDraining(TargetId("t1")))
        driver.deliver(1, 2)
        driver.deliver(2, 12)
        driver.finish(2, FinishReason.LENGTH)
        assertWhole(driver, 20)
    }

    @Test
    fun `a pause of this process does not count as a stall of the engine`() {
        val driver = GenerationDriver().start()
        driver.deliver(1, 5)
        driver.now += 30.seconds
        driver.send(GenerationInput.Tick)
        assertEquals(1, driver.opened.size)
        assertFalse(driver.generation.isClosed)
    }

    @Test
    fun `a connection lost between the last token and the finish completes the generation`() {
        val driver = GenerationDriver().start()
        driver.deliver(1, 20)
        driver.fail(1, FailureCause.CONNECTION_LOST)
        assertWhole(driver, 20)
        assertEquals(1, driver.opened.size)
    }

    private fun assertWhole(driver: GenerationDriver, length: Int) {
        assertNotNull(driver.completed)
        assertEquals(length, driver.log.size)
        assertNull(ChainedEngine.firstChainBreak(driver.log))
        val emitted = driver.effects.filterIsInstance<GenerationEffect.Accepted>()
        assertEquals(driver.log, emitted.flatMap { it.tokens })
    }
}
