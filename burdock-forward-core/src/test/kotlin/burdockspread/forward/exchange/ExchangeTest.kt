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
    fun `a whole answer is delivered unchanged and its connection kept`() {
        val trial = Trial(CallKind.NON_IDEMPOTENT, one)
        trial.begin()
        trial.exchange.onResponseHead(1, head(200), start)
        trial.exchange.onBody(1, "hello".encodeToByteArray(), start)
        val effects = trial.exchange.onEnd(1, true, start)
        assertEquals(ExchangeEffect.Release(1, true), effects[0])
        assertEquals(5, assertIs<ExchangeEffect.Begin>(effects[1]).length)
        assertEquals("hello", String(assertIs<ExchangeEffect.Body>(effects[2]).bytes))
        assertIs<ExchangeEffect.End>(effects[3])
        assertTrue(trial.exchange.ended)
    }

    @Test
    fun `a call that may not be repeated is not sent again once it may have run`() {
        val trial = Trial(CallKind.NON_IDEMPOTENT, one, two)
        trial.begin()
        val effects = trial.exchange.onFailure(1, AttemptFailure.BROKEN, start)
        assertEquals(ErrorCode.OUTCOME_UNKNOWN, refusal(effects).code)
        assertEquals(1, trial.sends)
    }

    @Test
    fun `a call that may not be repeated is sent elsewhere when no connection was made`() {
        val trial = Trial(CallKind.NON_IDEMPOTENT, one, two)
        trial.begin()
        val effects = trial.exchange.onFailure(1, AttemptFailure.NOT_CONNECTED, start)
        assertEquals(two, assertIs<ExchangeEffect.Send>(effects.single()).target)
    }

    @Test
    fun `a full target leaves the request not run and says so`() {
        val trial = Trial(CallKind.NON_IDEMPOTENT, one)
        trial.begin()
        trial.exchange.onResponseHead(1, head(503, notRun = true), start)
        val effects = trial.exchange.onEnd(1, true, start)
        assertEquals(503, refusal(effects).code.httpStatus)
    }

    @Test
    fun `an idempotent call goes to another target when the first one breaks off`() {
        val trial = Trial(CallKind.IDEMPOTENT, one, two)
        trial.begin()
        val effects = trial.exchange.onFailure(1, AttemptFailure.BROKEN, start)
        assertEquals(two, assertIs<ExchangeEffect.Send>(effects.single()).target)
    }

    @Test
    fun `a target's own failure is passed on with its proof when nothing better comes`() {
        val trial = Trial(CallKind.IDEMPOTENT, one, two, maxAttempts = 1)
        trial.begin()
        trial.exchange.onResponseHead(1, head(500), start)
        val effects = trial.exchange.onEnd(1, true, start)
        assertEquals(500, effects.filterIsInstance<ExchangeEffect.Begin>().single().head.status)
    }

    @Test
    fun `an answer to another request is skipped and its connection not used again`() {
        val trial = Trial(CallKind.IDEMPOTENT, one)
        trial.begin()
        trial.exchange.onResponseHead(1, head(200, answers = "someone-else"), start)
        trial.exchange.onBody(1, "theirs".encodeToByteArray(), start)
        assertEquals(0, trial.exchange.onEnd(1, true, start).size)
        trial.exchange.onResponseHead(1, head(200), start)
        trial.exchange.onBody(1, "mine".encodeToByteArray(), start)
        val effects = trial.exchange.onEnd(1, true, start)
        assertEquals(ExchangeEffect.Release(1, false), effects[0])
        assertEquals("mine", text(effects))
    }

    @Test
    fun `a success without proof never reaches the caller`() {
        val trial = Trial(CallKind.NON_IDEMPOTENT, one)
        trial.begin()
        trial.exchange.onResponseHead(1, head(200, sealed = false), start)
        val effects = trial.exchange.onEnd(1, true, start)
        assertEquals(ErrorCode.OUTCOME_UNKNOWN, refusal(effects).code)
    }

    @Test
    fun `a broken stream goes on at the holder of its copy after the last whole event`() {
        val trial = Trial(CallKind.RESUMABLE_STREAM, one, two, replicaTarget = two)
        trial.begin()
        trial.exchange.onResponseHead(1, head(200), start)
        val first = trial.exchange.onBody(1, "id: 1\n\nid: 2\n\nid: 3".encodeToByteArray(), start)
        assertEquals("id: 1\n\nid: 2\n\n", text(first))
        val effects = trial.exchange.onFailure(1, AttemptFailure.BROKEN, start)
        val send = assertIs<ExchangeEffect.Send>(effects.single())
        assertEquals("2", send.resumeAfter)
        assertEquals(two.address, send.copyAt)
        trial.exchange.onResponseHead(2, head(200), start)
        assertEquals("id: 3\n\n", text(trial.exchange.onBody(2, bytes("id: 3\n\n"), start)))
    }

    @Test
    fun `a copy is not asked for when the run never began`() {
        val trial = Trial(CallKind.RESUMABLE_STREAM, one, two, replicaTarget = two)
        trial.begin()
        val effects = trial.exchange.onFailure(1, AttemptFailure.NOT_CONNECTED, start)
        assertNull(assertIs<ExchangeEffect.Send>(effects.single()).copyAt)
    }

    @Test
    fun `a run that broke before its first event goes on from its copy`() {
        val trial = Trial(CallKind.RESUMABLE_STREAM, one, two, replicaTarget = two)
        trial.begin()
        val effects = trial.exchange.onFailure(1, AttemptFailure.BROKEN, start)
        assertEquals(two.address, assertIs<ExchangeEffect.Send>(effects.single()).copyAt)
    }

    @Test
    fun `late bytes of an earlier attempt are ignored`() {
        val trial = Trial(CallKind.RESUMABLE_STREAM, one, two)
        trial.begin()
        trial.exchange.onResponseHead(1, head(200), start)
        trial.exchange.onBody(1, bytes("id: 1\n\n"), start)
        trial.exchange.onFailure(1, AttemptFailure.BROKEN, start)
        assertEquals(0, trial.exchange.onBody(1, bytes("id: 2\n\n"), start).size)
    }

    @Test
    fun `a silent stream with a copy is dropped before it goes on`() {
        val trial = Trial(CallKind.RESUMABLE_STREAM, one, two, replicaTarget = two)
        trial.begin()
        trial.exchange.onResponseHead(1, head(200), start)
        trial.exchange.onBody(1, bytes("id: 1\n\n"), start)
        val due = trial.exchange.wakeAt
        assertTrue(due - start < 700.milliseconds)
        val effects = trial.exchange.onTimer(due, ZERO)
        assertEquals(ExchangeEffect.Drop(1), effects[0])
        assertIs<ExchangeEffect.Send>(effects[1])
    }

    @Test
    fun `a host that was paused itself does not take that for silence of the target`() {
        val trial = Trial(CallKind.RESUMABLE_STREAM, one, two, replicaTarget = two)
        trial.begin()
        trial.exchange.onResponseHead(1, head(200), start)
        trial.exchange.onBody(1, bytes("id: 1\n\n"), start)
        val due = trial.exchange.wakeAt
        assertEquals(0, trial.exchange.onTimer(due + 3.seconds, late = 3.seconds).size)
    }

    @Test
    fun `a stream that may not be resumed is broken off`() {
        val trial = Trial(CallKind.STREAM, one, two)
        trial.begin()
        trial.exchange.onResponseHead(1, head(200), start)
        trial.exchange.onBody(1, bytes("id: 1\n\n"), start)
        val effects = trial.exchange.onFailure(1, AttemptFailure.BROKEN, start)
        assertEquals(ExchangeEffect.BreakOff, effects.single())
    }

    @Test
    fun `the target's work is cancelled when the caller leaves`() {
        val trial = Trial(CallKind.RESUMABLE_STREAM, one)
        trial.begin()
        assertEquals(ExchangeEffect.Drop(1), trial.exchange.onCallerGone(start).single())
        assertTrue(trial.exchange.ended)
        assertEquals(0, trial.exchange.onBody(1, bytes("id: 1\n\n"), start).size)
    }

    @Test
    fun `at the route's timeout the answer is final and does not claim that nothing ran`() {
        val trial = Trial(CallKind.NON_IDEMPOTENT, one)
        trial.begin()
        val effects = trial.exchange.onTimer(trial.exchange.call.deadline, ZERO)
        assertEquals(ErrorCode.TARGET_TIMEOUT, refusal(effects).code)
    }

    @Test
    fun `a request that never left is refused as not run at its deadline`() {
        val trial = Trial(CallKind.IDEMPOTENT)
        trial.begin()
        val effects = trial.exchange.onTimer(trial.exchange.call.deadline, ZERO)
        assertEquals(ErrorCode.DEADLINE_UNREACHABLE, refusal(effects).code)
    }

    @Test
    fun `a refusal after a send that may have run promises nothing`() {
        val trial = Trial(CallKind.IDEMPOTENT, one)
        trial.begin()
        trial.exchange.onFailure(1, AttemptFailure.BROKEN, start)
        val refused = Refusal(ErrorCode.OVERLOADED, "full", 1.seconds)
        val effects = trial.exchange.onSettled(PlacementDecision.Refused(refused), start)
        assertEquals(502, refusal(effects).code.httpStatus)
        assertNull(refusal(effects).retryAfter)
    }

    @Test
    fun `no more targets get the request than the route allows`() {
        val many = Array(9) { Fixture.target("t$it") }
        val trial = Trial(CallKind.IDEMPOTENT, *many, maxAttempts = 2)
        trial.begin()
        trial.exchange.onFailure(1, AttemptFailure.BROKEN, start)
        val effects = trial.exchange.onFailure(2, AttemptFailure.BROKEN, start)
        assertEquals(ErrorCode.CALL_FAILED, refusal(effects).code)
        assertEquals(2, trial.sends)
    }

    @Test
    fun `without budget nothing is sent again`() {
        val trial = Trial(CallKind.IDEMPOTENT, one, two, budget = RetryBudget(0.0, 0))
        trial.begin()
        val effects = trial.exchange.onFailure(1, AttemptFailure.BROKEN, start)
        assertEquals(ErrorCode.CALL_FAILED, refusal(effects).code)
    }

    @Test
    fun `the time passed on to a target shrinks`() {
        val trial = Trial(CallKind.IDEMPOTENT, one, two, patience = 2.seconds)
        val first = assertIs<ExchangeEffect.Send>(trial.begin().single())
        val later = start + 500.milliseconds
        val effects = trial.exchange.onFailure(1, AttemptFailure.BROKEN, later)
        assertEquals(2.seconds, first.remaining)
        assertEquals(1_500.milliseconds, assertIs<ExchangeEffect.Send>(effects.single()).remaining)
    }

    private fun bytes(text: String) = text.encodeToByteArray()

    private fun text(effects: List<ExchangeEffect>) =
        effects.filterIsInstance<ExchangeEffect.Body>().joinToString("") { String(it.bytes) }

    private fun refusal(effects: List<ExchangeEffect>) =
        effects.filterIsInstance<ExchangeEffect.Refuse>().single().refusal

    private fun head(
        status: Int,
        answers: String = "call-1",
        sealed: Boolean = true,
        notRun: Boolean = false,
    ) = AnswerHead(status, answers, sealed, notRun, null, persistentListOf())

    private inner class Trial(
        kind: CallKind,
        vararg targets: TargetEntry,
        replicaTarget: TargetEntry? = null,
        maxAttempts: Int = if (kind.repeatable) 3 else 1,
        budget: RetryBudget = RetryBudget(1.0, 10),
        patience: Duration = 20.seconds,
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
                deadline = start + patience,
            ),
            policy,
            budget,
        )
        val sends: Int get() = policy.placed

        fun begin() = exchange.start(start)
    }
}
