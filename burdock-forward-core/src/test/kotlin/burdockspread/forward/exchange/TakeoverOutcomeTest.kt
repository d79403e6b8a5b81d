package burdockspread.forward.exchange

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.forward.Fixture
import burdockspread.forward.catalog.CallKind
import burdockspread.forward.exchange.ExchangeScenario.Companion.head
import burdockspread.forward.exchange.ExchangeScenario.Companion.refusal
import burdockspread.forward.load.PlacementDecision.Placed
import burdockspread.forward.load.PlacementDecision.Refused
import burdockspread.retry.RetryBudget
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What follows if a takeover from a silent target meets a successor that does not help. */
class TakeoverOutcomeTest {
    private val start = Fixture.START
    private val one = Fixture.target("one")
    private val two = Fixture.target("two", domain = "south")

    // A queued takeover has to be withdrawn when the response begins to be relayed.
    // Guards against a sound attempt that was cut for a successor without capacity.
    @Test
    fun `a stream outlasts a successor that is full`() {
        listOf(
            ExchangeScenario(CallKind.RESUMABLE_STREAM, one, two, maxAttempts = 2),
            ExchangeScenario(CallKind.RESUMABLE_STREAM, one, two, budget = RetryBudget(0.0, 2)),
        ).forEach { scenario ->
            scenario.begin().event(1, 1, start)
            val taken = scenario.stayQuiet(1, start + 800.milliseconds)
            assertIs<ExchangeEffect.Send>(taken.last(), "$taken")
            assertEquals(emptyList(), scenario.refuseSecond().filterNot(::isRelease))
            val again = scenario.exchange.onPlacement(Placed(one, null), start + 2.seconds)
            assertEquals("1", assertIs<ExchangeEffect.Send>(again.single()).resumeAfterEventId)
        }
    }

    // Guards against the same for calls.
    @Test
    fun `a call outlasts a successor that is full`() {
        val scenario = ExchangeScenario(CallKind.IDEMPOTENT, one, two, maxAttempts = 2).begin()
        val taken = scenario.stayQuiet(1, start + 5.seconds)
        assertIs<ExchangeEffect.Send>(taken.last())
        assertEquals(emptyList(), scenario.refuseSecond().filterNot(::isRelease))
    }

    // Guards against a takeover that leaves no retry for a successor without capacity.
    @Test
    fun `no takeover begins with the last retry of the budget`() {
        val budget = RetryBudget(0.0, 1)
        val scenario = ExchangeScenario(CallKind.RESUMABLE_STREAM, one, two, budget = budget)
        scenario.begin().event(1, 1, start)
        assertEquals(emptyList(), scenario.stayQuiet(1, start + 3.seconds).filterNot(::isProbe))
        assertTrue(budget.tryAcquire())
    }

    // Guards against a retry held for a successor that has accepted the request.
    @Test
    fun `a successor that accepts the request leaves a retry in the budget`() {
        val budget = RetryBudget(0.0, 2)
        val scenario = ExchangeScenario(CallKind.RESUMABLE_STREAM, one, two, budget = budget)
        scenario.begin().event(1, 1, start)
        assertIs<ExchangeEffect.Send>(scenario.stayQuiet(1, start + 800.milliseconds).last())
        assertFalse(budget.tryAcquire())
        scenario.event(2, 2, start + 1.seconds)
        assertTrue(budget.tryAcquire())
        assertFalse(budget.tryAcquire())
    }

    // Guards against bytes of a second run in a response of which a part was forwarded.
    @Test
    fun `a response that is relayed is not taken over by a queued successor`() {
        val scenario = ExchangeScenario(CallKind.IDEMPOTENT, one).begin()
        val exchange = scenario.exchange
        exchange.onResponseHead(1, head(200), start)
        exchange.onBody(1, ByteArray(262_144 - 10), start)
        val later = start + 5.seconds
        scenario.stayQuiet(1, later)
        assertEquals(2, scenario.policy.requests.size)
        val relayed = exchange.onBody(1, ByteArray(20), later + 10.milliseconds)
        assertIs<ExchangeEffect.Begin>(relayed.first())
        assertEquals(1, scenario.policy.cancelled)
        val effects = exchange.onPlacement(Placed(two, null), later + 20.milliseconds)
        assertEquals(emptyList(), effects)
        val rest = exchange.onBody(1, ByteArray(20), later + 30.milliseconds) +
            exchange.onEnd(1, true, later + 40.milliseconds)
        assertIs<ExchangeEffect.End>(rest.last())
    }

    // Guards against a retry budget that empties under overload.
    @Test
    fun `a retry that finds no target is returned to the budget`() {
        val budget = RetryBudget(0.0, 1)
        val scenario = ExchangeScenario(CallKind.IDEMPOTENT, one, budget = budget).begin()
        scenario.exchange.onFailure(1, AttemptFailure.BROKEN, start)
        val full = Refused(Refusal(ErrorCode.OVERLOADED, "full", 1.seconds))
        scenario.exchange.onPlacement(full, start + 1.seconds)
        assertTrue(budget.tryAcquire())
    }

    // Guards against work for a request whose deadline passed while its body arrived.
    @Test
    fun `a request past its deadline is refused unsent`() {
        val scenario = ExchangeScenario(CallKind.NON_IDEMPOTENT, one)
        val effects = scenario.exchange.start(scenario.exchange.call.deadline)
        assertEquals(ErrorCode.DEADLINE_UNREACHABLE, refusal(effects).code)
        assertEquals(0, scenario.policy.requests.size)
    }

    /** Lets the target of the second attempt answer that it has no capacity. */
    private fun ExchangeScenario.refuseSecond(): List<ExchangeEffect> {
        val full = head(503).copy(notExecuted = true)
        val now = start + 5.seconds
        return exchange.onResponseHead(2, full, now) + exchange.onEnd(2, true, now)
    }

    private fun isRelease(effect: ExchangeEffect) = effect is ExchangeEffect.Release

    private fun isProbe(effect: ExchangeEffect) = effect is ExchangeEffect.Probe
}
