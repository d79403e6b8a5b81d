package burdockspread.forward.exchange

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.forward.Fixture
import burdockspread.forward.catalog.CallKind
import burdockspread.forward.directory.TargetEntry
import burdockspread.forward.load.PlacementDecision
import burdockspread.id.ServiceId
import burdockspread.retry.RetryBudget
import kotlinx.collections.immutable.persistentListOf
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ExchangeTest {
    private val start = Fixture.START
    private val one = Fixture.target("one")
    private val two = Fixture.target("two", domain = "south")

    @Test
    fun `a complete response is forwarded unchanged and its connection reused`() {
        val scenario = Scenario(CallKind.NON_IDEMPOTENT, one)
        scenario.begin()
        scenario.exchange.onResponseHead(1, head(200), start)
        scenario.exchange.onBody(1, "hello".encodeToByteArray(), start)
        val effects = scenario.exchange.onEnd(1, true, start)
        assertEquals(ExchangeEffect.Release(1, true), effects[0])
        assertEquals(5, assertIs<ExchangeEffect.Begin>(effects[1]).length)
        assertEquals("hello", String(assertIs<ExchangeEffect.Body>(effects[2]).bytes))
        assertIs<ExchangeEffect.End>(effects[3])
        assertTrue(scenario.exchange.isEnded)
    }

    @Test
    fun `a non-idempotent call is not retried once it may have run`() {
        val scenario = Scenario(CallKind.NON_IDEMPOTENT, one, two)
        scenario.begin()
        val effects = scenario.exchange.onFailure(1, AttemptFailure.BROKEN, start)
        assertEquals(ErrorCode.OUTCOME_UNKNOWN, refusal(effects).code)
        assertEquals(1, scenario.sends)
    }

    @Test
    fun `a non-idempotent call is retried elsewhere if no connection was made`() {
        val scenario = Scenario(CallKind.NON_IDEMPOTENT, one, two)
        scenario.begin()
        val effects = scenario.exchange.onFailure(1, AttemptFailure.NOT_CONNECTED, start)
        assertEquals(two, assertIs<ExchangeEffect.Send>(effects.single()).target)
    }

    @Test
    fun `a request shed by a full target is refused as not run`() {
        val scenario = Scenario(CallKind.NON_IDEMPOTENT, one)
        scenario.begin()
        scenario.exchange.onResponseHead(1, head(503, notExecuted = true), start)
        val effects = scenario.exchange.onEnd(1, true, start)
        assertEquals(503, refusal(effects).code.httpStatus)
    }

    @Test
    fun `an idempotent call is retried at another target if the connection breaks`() {
        val scenario = Scenario(CallKind.IDEMPOTENT, one, two)
        scenario.begin()
        val effects = scenario.exchange.onFailure(1, AttemptFailure.BROKEN, start)
        assertEquals(two, assertIs<ExchangeEffect.Send>(effects.single()).target)
    }

    @Test
    fun `a target's signed error is forwarded if no attempt succeeds`() {
        val scenario = Scenario(CallKind.IDEMPOTENT, one, two, maxAttempts = 1)
        scenario.begin()
        scenario.exchange.onResponseHead(1, head(500), start)
        val effects = scenario.exchange.onEnd(1, true, start)
        assertEquals(500, effects.filterIsInstance<ExchangeEffect.Begin>().single().head.status)
    }

    @Test
    fun `a response to another request is skipped and its connection not reused`() {
        val scenario = Scenario(CallKind.IDEMPOTENT, one)
        scenario.begin()
        scenario.exchange.onResponseHead(1, head(200, requestId = "someone-else"), start)
        scenario.exchange.onBody(1, "theirs".encodeToByteArray(), start)
        assertEquals(0, scenario.exchange.onEnd(1, true, start).size)
        scenario.exchange.onResponseHead(1, head(200), start)
        scenario.exchange.onBody(1, "mine".encodeToByteArray(), start)
        val effects = scenario.exchange.onEnd(1, true, start)
        assertEquals(ExchangeEffect.Release(1, false), effects[0])
        assertEquals("mine", text(effects))
    }

    @Test
    fun `an unsigned success never reaches the caller`() {
        val scenario = Scenario(CallKind.NON_IDEMPOTENT, one)
        scenario.begin()
        scenario.exchange.onResponseHead(1, head(200, sealed = false), start)
        val effects = scenario.exchange.onEnd(1, true, start)
        assertEquals(ErrorCode.OUTCOME_UNKNOWN, refusal(effects).code)
    }

    @Test
    fun `a broken stream resumes at its replica after the last complete event`() {
        val scenario = Scenario(CallKind.RESUMABLE_STREAM, one, two, replicaTarget = two)
        scenario.begin()
        scenario.exchange.onResponseHead(1, head(200), start)
        val first = scenario.exchange.onBody(
            1,
            "id: 1\n\nid: 2\n\nid: 3".encodeToByteArray(),
            start,
        )
        assertEquals("id: 1\n\nid: 2\n\n", text(first))
        val effects = scenario.exchange.onFailure(1, AttemptFailure.BROKEN, start)
        val send = assertIs<ExchangeEffect.Send>(effects.single())
        assertEquals("2", send.resumeAfterEventId)
        assertEquals(two.address, send.replicaAddress)
        scenario.exchange.onResponseHead(2, head(200), start)
        assertEquals("id: 3\n\n", text(scenario.exchange.onBody(2, bytes("id: 3\n\n"), start)))
    }

    @Test
    fun `a replica is not used if the attempt never started`() {
        val scenario = Scenario(CallKind.RESUMABLE_STREAM, one, two, replicaTarget = two)
        scenario.begin()
        val effects = scenario.exchange.onFailure(1, AttemptFailure.NOT_CONNECTED, start)
        assertNull(assertIs<ExchangeEffect.Send>(effects.single()).replicaAddress)
    }

    @Test
    fun `an attempt that broke before its first event resumes from its replica`() {
        val scenario = Scenario(CallKind.RESUMABLE_STREAM, one, two, replicaTarget = two)
        scenario.begin()
        val effects = scenario.exchange.onFailure(1, AttemptFailure.BROKEN, start)
        assertEquals(two.address, assertIs<ExchangeEffect.Send>(effects.single()).replicaAddress)
    }

    @Test
    fun `late bytes of an earlier attempt are ignored`() {
        val scenario = Scenario(CallKind.RESUMABLE_STREAM, one, two)
        scenario.begin()
        scenario.exchange.onResponseHead(1, head(200), start)
        scenario.exchange.onBody(1, bytes("id: 1\n\n"), start)
        scenario.exchange.onFailure(1, AttemptFailure.BROKEN, start)
        assertEquals(0, scenario.exchange.onBody(1, bytes("id: 2\n\n"), start).size)
    }

    @Test
    fun `a silent stream with a replica is cancelled before it resumes`() {
        val scenario = Scenario(CallKind.RESUMABLE_STREAM, one, two, replicaTarget = two)
        scenario.begin()
        scenario.exchange.onResponseHead(1, head(200), start)
        scenario.exchange.onBody(1, bytes("id: 1\n\n"), start)
        val due = scenario.exchange.wakeAt
        assertTrue(due - start < 700.milliseconds)
        val effects = scenario.exchange.onTimer(due, ZERO)
        assertEquals(ExchangeEffect.Cancel(1), effects[0])
        assertIs<ExchangeEffect.Send>(effects[1])
    }

    @Test
    fun `a pause of the host does not count as silence of the target`() {
        val scenario = Scenario(CallKind.RESUMABLE_STREAM, one, two, replicaTarget = two)
        scenario.begin()
        scenario.exchange.onResponseHead(1, head(200), start)
        scenario.exchange.onBody(1, bytes("id: 1\n\n"), start)
        val due = scenario.exchange.wakeAt
        assertEquals(0, scenario.exchange.onTimer(due + 3.seconds, timerDelay = 3.seconds).size)
    }

    @Test
    fun `a stream that must not be resumed is aborted`() {
        val scenario = Scenario(CallKind.STREAM, one, two)
        scenario.begin()
        scenario.exchange.onResponseHead(1, head(200), start)
        scenario.exchange.onBody(1, bytes("id: 1\n\n"), start)
        val effects = scenario.exchange.onFailure(1, AttemptFailure.BROKEN, start)
        assertEquals(ExchangeEffect.AbortResponse, effects.single())
    }

    @Test
    fun `the attempt is cancelled when the caller disconnects`() {
        val scenario = Scenario(CallKind.RESUMABLE_STREAM, one)
        scenario.begin()
        assertEquals(ExchangeEffect.Cancel(1), scenario.exchange.onCallerGone(start).single())
        assertTrue(scenario.exchange.isEnded)
        assertEquals(0, scenario.exchange.onBody(1, bytes("id: 1\n\n"), start).size)
    }

    @Test
    fun `at the route's timeout the refusal does not claim that nothing ran`() {
        val scenario = Scenario(CallKind.NON_IDEMPOTENT, one)
        scenario.begin()
        val effects = scenario.exchange.onTimer(scenario.exchange.call.deadline, ZERO)
        assertEquals(ErrorCode.TARGET_TIMEOUT, refusal(effects).code)
    }

    @Test
    fun `a request that was never sent is refused as not run at its deadline`() {
        val scenario = Scenario(CallKind.IDEMPOTENT)
        scenario.begin()
        val effects = scenario.exchange.onTimer(scenario.exchange.call.deadline, ZERO)
        assertEquals(ErrorCode.DEADLINE_UNREACHABLE, refusal(effects).code)
    }

    @Test
    fun `a refusal after an attempt that may have run does not claim not run`() {
        val scenario = Scenario(CallKind.IDEMPOTENT, one)
        scenario.begin()
        scenario.exchange.onFailure(1, AttemptFailure.BROKEN, start)
        val refused = Refusal(ErrorCode.OVERLOADED, "full", 1.seconds)
        val effects = scenario.exchange.onPlacement(PlacementDecision.Refused(refused), start)
        assertEquals(502, refusal(effects).code.httpStatus)
        assertNull(refusal(effects).retryAfter)
    }

    @Test
    fun `a request is sent to no more targets than the route allows`() {
        val many = Array(9) { Fixture.target("t$it") }
        val scenario = Scenario(CallKind.IDEMPOTENT, *many, maxAttempts = 2)
        scenario.begin()
        scenario.exchange.onFailure(1, AttemptFailure.BROKEN, start)
        val effects = scenario.exchange.onFailure(2, AttemptFailure.BROKEN, start)
        assertEquals(ErrorCode.CALL_FAILED, refusal(effects).code)
        assertEquals(2, scenario.sends)
    }

    @Test
    fun `nothing is retried without retry budget`() {
        val scenario = Scenario(CallKind.IDEMPOTENT, one, two, budget = RetryBudget(0.0, 0))
        scenario.begin()
        val effects = scenario.exchange.onFailure(1, AttemptFailure.BROKEN, start)
        assertEquals(ErrorCode.CALL_FAILED, refusal(effects).code)
    }

    @Test
    fun `the remaining time sent to a target shrinks`() {
        val scenario = Scenario(CallKind.IDEMPOTENT, one, two, callerTimeout = 2.seconds)
        val first = assertIs<ExchangeEffect.Send>(scenario.begin().single())
        val later = start + 500.milliseconds
        val effects = scenario.exchange.onFailure(1, AttemptFailure.BROKEN, later)
        assertEquals(2.seconds, first.remaining)
        assertEquals(1_500.milliseconds, assertIs<ExchangeEffect.Send>(effects.single()).remaining)
    }

    @Test
    fun `a line without end fails the attempt and the stream resumes elsewhere`() {
        val scenario = Scenario(CallKind.RESUMABLE_STREAM, one, two)
        scenario.begin()
        scenario.exchange.onResponseHead(1, head(200), start)
        scenario.exchange.onBody(1, bytes("id: 1\n\n"), start)
        val effects = scenario.feedUntilEffects { bytes("x".repeat(CHUNK_BYTES)) }
        assertEquals(ExchangeEffect.Cancel(1), effects[0])
        assertEquals("1", assertIs<ExchangeEffect.Send>(effects[1]).resumeAfterEventId)
    }

    @Test
    fun `an unsigned response without end fails the attempt`() {
        val scenario = Scenario(CallKind.NON_IDEMPOTENT, one, two)
        scenario.begin()
        scenario.exchange.onResponseHead(1, head(200, sealed = false), start)
        val effects = scenario.feedUntilEffects { ByteArray(CHUNK_BYTES) }
        assertEquals(ExchangeEffect.Cancel(1), effects[0])
        assertEquals(ErrorCode.OUTCOME_UNKNOWN, refusal(effects).code)
        assertEquals(1, scenario.sends)
    }

    @Test
    fun `a response to another request without end fails the attempt`() {
        val scenario = Scenario(CallKind.IDEMPOTENT, one, two)
        scenario.begin()
        scenario.exchange.onResponseHead(1, head(200, requestId = "someone-else"), start)
        val effects = scenario.feedUntilEffects { ByteArray(CHUNK_BYTES) }
        assertEquals(ExchangeEffect.Cancel(1), effects[0])
        assertEquals(two, assertIs<ExchangeEffect.Send>(effects[1]).target)
    }

    @Test
    fun `responses to other requests without end fail the attempt`() {
        val scenario = Scenario(CallKind.IDEMPOTENT, one, two)
        scenario.begin()
        var effects = emptyList<ExchangeEffect>()
        repeat(100) {
            if (effects.isNotEmpty()) return@repeat
            effects = scenario.exchange.onResponseHead(1, head(200, requestId = "r$it"), start)
            scenario.exchange.onEnd(1, true, start)
        }
        assertEquals(ExchangeEffect.Cancel(1), effects[0])
    }

    @Test
    fun `a stream that sends comments or single bytes but no events is stalled`() {
        listOf(":\n\n", "x", ": still here\n").forEach { trickle ->
            val scenario = Scenario(CallKind.RESUMABLE_STREAM, one, two, replicaTarget = two)
            scenario.begin()
            scenario.exchange.onResponseHead(1, head(200), start)
            scenario.exchange.onBody(1, bytes("id: 1\n\n"), start)
            val due = scenario.exchange.wakeAt
            for (elapsed in 50..350 step 50) {
                scenario.exchange.onBody(1, bytes(trickle), start + elapsed.milliseconds)
            }
            assertEquals(due, scenario.exchange.wakeAt, trickle)
            val effects = scenario.exchange.onTimer(due, ZERO)
            assertEquals(ExchangeEffect.Cancel(1), effects[0])
            assertIs<ExchangeEffect.Send>(effects[1])
        }
    }

    @Test
    fun `a large event that arrives steadily is not a stall`() {
        val scenario = Scenario(CallKind.RESUMABLE_STREAM, one, two, replicaTarget = two)
        scenario.begin()
        scenario.exchange.onResponseHead(1, head(200), start)
        scenario.exchange.onBody(1, bytes("id: 1\n\nid: 2\ndata: "), start)
        for (elapsed in 100..2_000 step 100) {
            val now = start + elapsed.milliseconds
            scenario.exchange.onBody(1, bytes("x".repeat(2_000)), now)
            assertTrue(scenario.exchange.wakeAt > now + 100.milliseconds)
        }
        val now = start + 2.seconds
        assertTrue(text(scenario.exchange.onBody(1, bytes("\n\n"), now)).startsWith("id: 2"))
        assertEquals(1, scenario.sends)
    }

    @Test
    fun `a stalled stream that cannot be retried is kept and goes on`() {
        val scenarios = listOf(
            Scenario(CallKind.RESUMABLE_STREAM, one, two, maxAttempts = 1),
            Scenario(CallKind.RESUMABLE_STREAM, one, two, budget = RetryBudget(0.0, 0)),
        )
        scenarios.forEach { scenario ->
            scenario.begin()
            scenario.exchange.onResponseHead(1, head(200), start)
            scenario.exchange.onBody(1, bytes("id: 1\n\n"), start)
            val later = start + 3.seconds
            while (scenario.exchange.wakeAt < later) {
                val effects = scenario.exchange.onTimer(scenario.exchange.wakeAt, ZERO)
                assertTrue(effects.all { it is ExchangeEffect.Probe }, "$effects")
            }
            val next = scenario.exchange.onBody(1, bytes("id: 2\n\n"), later)
            assertEquals("id: 2\n\n", text(next))
        }
    }

    @Test
    fun `a silent call that cannot be retried is kept until its deadline`() {
        val scenario = Scenario(CallKind.IDEMPOTENT, one, two, maxAttempts = 2)
        scenario.begin()
        val silent = scenario.exchange.onTimer(scenario.exchange.wakeAt, ZERO)
        assertEquals(ExchangeEffect.Cancel(1), silent[0])
        assertIs<ExchangeEffect.Send>(silent[1])
        val due = scenario.exchange.wakeAt
        assertEquals(0, scenario.exchange.onTimer(due, ZERO).size)
        assertEquals(scenario.exchange.call.deadline, scenario.exchange.wakeAt)
        scenario.exchange.onResponseHead(2, head(200), due + 1.seconds)
        val effects = scenario.exchange.onEnd(2, true, due + 1.seconds)
        assertIs<ExchangeEffect.End>(effects.last())
    }

    @Test
    fun `a large response that pauses is not retried after a part of it was forwarded`() {
        val scenario = Scenario(CallKind.IDEMPOTENT, one, two)
        scenario.begin()
        scenario.exchange.onResponseHead(1, head(200), start)
        scenario.feedUntilEffects { ByteArray(CHUNK_BYTES) }
        assertEquals(0, scenario.exchange.onTimer(scenario.exchange.wakeAt, ZERO).size)
        val effects = scenario.exchange.onEnd(1, true, start + 1.seconds)
        assertIs<ExchangeEffect.End>(effects.last())
        assertEquals(1, scenario.sends)
    }

    private fun bytes(text: String) = text.encodeToByteArray()

    private fun text(effects: List<ExchangeEffect>) =
        effects.filterIsInstance<ExchangeEffect.Body>().joinToString("") { String(it.bytes) }

    private fun refusal(effects: List<ExchangeEffect>) =
        effects.filterIsInstance<ExchangeEffect.Refuse>().single().refusal

    private fun head(
        status: Int,
        requestId: String = "call-1",
        sealed: Boolean = true,
        notExecuted: Boolean = false,
    ) = ResponseHead(status, requestId, sealed, notExecuted, null, persistentListOf())

    private inner class Scenario(
        kind: CallKind,
        vararg targets: TargetEntry,
        replicaTarget: TargetEntry? = null,
        maxAttempts: Int = if (kind.isRepeatable) 3 else 1,
        budget: RetryBudget = RetryBudget(1.0, 10),
        callerTimeout: Duration = 20.seconds,
    ) {
        private val policy = ScriptedPolicy(targets.toList(), replicaTarget)
        val exchange = Exchange(
            Call(
                localId = 1,
                id = "call-1",
                route = Fixture.route(kind, maxAttempts = maxAttempts),
                service = ServiceId("any"),
                organisation = null,
                priority = 1,
                receivedAt = start,
                deadline = start + callerTimeout,
            ),
            policy,
            budget,
        )
        val sends: Int get() = policy.placed

        fun begin() = exchange.start(start)

        /** Feeds chunks of the first attempt's body until the exchange reacts. */
        fun feedUntilEffects(chunk: () -> ByteArray): List<ExchangeEffect> {
            repeat(MAX_CHUNKS) {
                val effects = exchange.onBody(1, chunk(), start)
                if (effects.isNotEmpty()) return effects
            }
            error("${MAX_CHUNKS * CHUNK_BYTES} bytes were accepted")
        }
    }

    private companion object {
        const val CHUNK_BYTES = 65_536
        const val MAX_CHUNKS = 32
    }
}
