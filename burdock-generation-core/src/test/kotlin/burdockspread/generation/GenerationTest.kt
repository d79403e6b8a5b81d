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
    fun `engine dies and the generation goes on at once from the next offset`() {
        val bench = GenerationBench().start()
        bench.deliver(1, 7)
        bench.fail(1, FailureCause.CONNECTION_LOST)
        val second = bench.opened.last()
        assertEquals(bench.log, second.prefix)
        assertEquals(13, second.maxTokens)
        assertEquals(setOf(TargetId("t1")), second.avoid.toSet())
        bench.deliver(2, 13)
        bench.finish(2, FinishReason.LENGTH)
        assertWhole(bench, 20)
    }

    @Test
    fun `engine freezes and is replaced after its usual times say so`() {
        val bench = GenerationBench().start()
        repeat(10) { bench.deliver(1, 1, 30.milliseconds) }
        val frozenAt = bench.now
        bench.silence()
        assertTrue(bench.now - frozenAt in 200.milliseconds..1.seconds)
        assertEquals(listOf(1), bench.cancelled)
        assertEquals(2, bench.opened.size)
    }

    @Test
    fun `engine wakes after it was replaced and its tokens are dropped and counted`() {
        val bench = GenerationBench().start()
        bench.deliver(1, 5)
        bench.silence()
        bench.deliver(1, 3)
        bench.deliver(2, 2)
        bench.deliver(1, 4)
        bench.finish(1, FinishReason.STOP)
        assertEquals(7, bench.log.size)
        assertEquals(7, bench.dropped[DropReason.LATE])
        assertNull(ChainedEngine.firstChainBreak(bench.log))
    }

    @Test
    fun `engine slows to a crawl below every stall timeout and is replaced`() {
        val bench = GenerationBench(maxTokens = 400).start()
        repeat(200) { bench.deliver(1, 1, 10.milliseconds) }
        var slow = 0
        while (bench.opened.size == 1 && slow < 100) {
            repeat(4) {
                bench.times.recordInterTokenLatency(TargetId("t9"), MODEL, 10.milliseconds)
            }
            bench.deliver(1, 1, 150.milliseconds)
            slow++
        }
        assertTrue(slow in 10..40, "replaced after $slow slow tokens")
        assertEquals(listOf(1), bench.cancelled)
    }

    @Test
    fun `engine ends with fewer tokens than promised and the rest comes from another`() {
        for (reason in listOf(null, FinishReason.LENGTH)) {
            val bench = GenerationBench().start()
            bench.deliver(1, 6)
            bench.finish(1, reason)
            assertEquals(6, bench.opened.last().prefix.size)
            bench.deliver(2, 14)
            bench.finish(2, FinishReason.LENGTH)
            assertWhole(bench, 20)
        }
        val miscounted = GenerationBench().start()
        miscounted.deliver(1, 6)
        miscounted.finish(1, FinishReason.STOP, total = 9)
        assertEquals(2, miscounted.opened.size)
    }

    @Test
    fun `engine resends tokens and none is repeated`() {
        val bench = GenerationBench().start()
        bench.deliver(1, 6)
        val engine = bench.engines.getValue(1)
        bench.tokens(1, 2, engine.slice(2, 6))
        bench.tokens(1, 4, engine.slice(4, 6) + engine.next(14))
        bench.finish(1, FinishReason.LENGTH)
        assertEquals(6, bench.dropped[DropReason.DUPLICATE])
        assertWhole(bench, 20)
    }

    @Test
    fun `engine skips an offset and the attempt is given up`() {
        val bench = GenerationBench().start()
        bench.deliver(1, 3)
        bench.engines.getValue(1).next(1)
        bench.deliver(1, 2)
        assertEquals(2, bench.dropped[DropReason.GAP])
        assertEquals(listOf(1), bench.cancelled)
        assertEquals(3, bench.opened.last().prefix.size)
    }

    @Test
    fun `side by side the first to deliver wins and the other is cancelled`() {
        for (winner in 1..2) {
            val bench = GenerationBench(SIDE_BY_SIDE).start()
            bench.deliver(1, 5)
            bench.silence()
            assertEquals(emptyList(), bench.cancelled)
            bench.deliver(winner, 3)
            bench.deliver(3 - winner, 4)
            assertEquals(listOf(3 - winner), bench.cancelled)
            assertEquals(4, bench.dropped[DropReason.LATE])
            bench.deliver(winner, 12)
            bench.finish(winner, FinishReason.LENGTH)
            assertWhole(bench, 20)
        }
    }

    @Test
    fun `saving resources waits longer and prefers a cached prefix`() {
        val waits = listOf(RESUME_EARLY, SAVE_RESOURCES).map { mode ->
            val bench = GenerationBench(mode).start()
            repeat(10) { bench.deliver(1, 1, 30.milliseconds) }
            val before = bench.now
            bench.silence()
            assertEquals(mode == SAVE_RESOURCES, bench.opened.last().preferCachedPrefix)
            bench.now - before
        }
        assertTrue(waits[1] > waits[0] * 1.5, waits.toString())
    }

    @Test
    fun `a spent budget bounds extra attempts and the refusal is truthful`() {
        val neverRan = GenerationBench(budget = { false }).start()
        neverRan.fail(1, FailureCause.NOT_CONNECTED)
        assertEquals(ErrorCode.RETRY_BUDGET_SPENT, neverRan.refusal?.code)

        val mayHaveRun = GenerationBench(budget = { false }).start()
        mayHaveRun.fail(1, FailureCause.CONNECTION_LOST)
        while (!mayHaveRun.generation.isClosed) mayHaveRun.silence()
        assertEquals(ErrorCode.ATTEMPTS_EXHAUSTED, mayHaveRun.refusal?.code)
        assertEquals(ExecutionOutcome.INCOMPLETE, mayHaveRun.refusal?.executionOutcome)
        assertEquals(1, mayHaveRun.opened.size)
    }

    @Test
    fun `a stalled attempt goes on while the budget is spent`() {
        val bench = GenerationBench(budget = { false }).start()
        bench.deliver(1, 5)
        bench.silence()
        bench.deliver(1, 15)
        bench.finish(1, FinishReason.LENGTH)
        assertWhole(bench, 20)
    }

    @Test
    fun `every attempt fails and the generation ends after the attempts of its policy`() {
        val bench = GenerationBench(maxAttempts = 3).start()
        repeat(3) {
            bench.deliver(it + 1, 1)
            bench.fail(it + 1, FailureCause.CONNECTION_LOST)
        }
        assertEquals(ErrorCode.ATTEMPTS_EXHAUSTED, bench.refusal?.code)
        assertEquals(3, bench.opened.size)
    }

    @Test
    fun `a leaving engine's generation moves without a loss and without the budget`() {
        val bench = GenerationBench(budget = { false }).start()
        bench.deliver(1, 8)
        bench.send(GenerationInput.TargetDraining(TargetId("t1")))
        bench.deliver(1, 2)
        bench.deliver(2, 12)
        bench.finish(2, FinishReason.LENGTH)
        assertWhole(bench, 20)
    }

    @Test
    fun `a pause of this process does not count as a stall of the engine`() {
        val bench = GenerationBench().start()
        bench.deliver(1, 5)
        bench.now += 30.seconds
        bench.send(GenerationInput.Tick)
        assertEquals(1, bench.opened.size)
        assertFalse(bench.generation.isClosed)
    }

    @Test
    fun `connection breaks between the last token and the finish`() {
        val bench = GenerationBench().start()
        bench.deliver(1, 20)
        bench.fail(1, FailureCause.CONNECTION_LOST)
        assertWhole(bench, 20)
        assertEquals(1, bench.opened.size)
    }

    private fun assertWhole(bench: GenerationBench, length: Int) {
        assertNotNull(bench.completed)
        assertEquals(length, bench.log.size)
        assertNull(ChainedEngine.firstChainBreak(bench.log))
        val emitted = bench.effects.filterIsInstance<GenerationEffect.Accepted>()
        assertEquals(bench.log, emitted.flatMap { it.tokens })
    }
}
