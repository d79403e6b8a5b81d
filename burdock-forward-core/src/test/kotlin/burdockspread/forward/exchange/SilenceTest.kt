package burdockspread.forward.exchange

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.forward.Fixture
import burdockspread.forward.catalog.CallKind
import burdockspread.forward.directory.TargetEntry
import burdockspread.forward.exchange.ExchangeScenario.Companion.head
import burdockspread.forward.exchange.ExchangeScenario.Companion.refusal
import burdockspread.forward.exchange.ExchangeScenario.Companion.text
import burdockspread.forward.load.PlacementDecision.Placed
import burdockspread.forward.load.PlacementDecision.Refused
import burdockspread.retry.RetryBudget
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class SilenceTest {
    private val start = Fixture.START
    private val one = Fixture.target("one")
    private val two = Fixture.target("two", domain = "south")
    private val full = Refused(Refusal(ErrorCode.OVERLOADED, "full", 1.seconds))

    // Guards against a stream cut after an unanswered probe although nobody else may go on with it.
    @Test
    fun `a stream that may run once outlasts any silence of its target`() {
        val scenario = ExchangeScenario(CallKind.STREAM, one, two).begin()
        scenario.event(1, 1, start)
        val later = start + 10.seconds
        assertEquals(emptyList(), scenario.stayQuiet(1, later))
        assertEquals("id: 2\n\n", text(scenario.event(1, 2, later)))
        assertIs<ExchangeEffect.End>(scenario.exchange.onEnd(1, true, later).last())
    }

    // Guards against a call that may run once ending by silence, also by a probe nobody asked for.
    @Test
    fun `a call that may run once outlasts any silence of its target`() {
        val scenario = ExchangeScenario(CallKind.NON_IDEMPOTENT, one, two).begin()
        val later = start + 10.seconds
        assertEquals(emptyList(), scenario.stayQuiet(1, later))
        assertEquals(emptyList(), scenario.exchange.onProbe(1, false, later))
        scenario.exchange.onResponseHead(1, head(200), later)
        assertIs<ExchangeEffect.End>(scenario.exchange.onEnd(1, true, later).last())
    }

    // Guards against a stream cut by an unanswered probe when its attempts or budget are used up.
    @Test
    fun `a resumable stream that no target may take over outlasts an unanswered probe`() {
        listOf(
            ExchangeScenario(CallKind.RESUMABLE_STREAM, one, two, maxAttempts = 1),
            ExchangeScenario(CallKind.RESUMABLE_STREAM, one, two, budget = RetryBudget(0.0, 0)),
        ).forEach { scenario ->
            scenario.begin().event(1, 1, start)
            val later = start + 5.seconds
            val effects = scenario.stayQuiet(1, later)
            assertTrue(effects.all { it is ExchangeEffect.Probe }, "$effects")
            assertEquals("id: 2\n\n", text(scenario.event(1, 2, later)))
        }
    }

    // Guards against a sound first attempt cut while its successor still waits for capacity.
    @Test
    fun `the silent attempt is cut only when its successor has been placed`() {
        forEachRepeatable { scenario ->
            val later = start + 3.seconds
            val effects = scenario.stayQuiet(1, later)
            assertTrue(effects.all { it is ExchangeEffect.Probe }, "$effects")
            assertEquals(setOf(one.id), scenario.policy.requests.last().avoidedTargets)
            val placed = scenario.exchange.onPlacement(Placed(two, null), later)
            assertEquals(ExchangeEffect.Cancel(1), placed[0])
            assertEquals(two, assertIs<ExchangeEffect.Send>(placed[1]).target)
            assertEquals(0, scenario.policy.endings, "the policy itself ends what it replaces")
        }
    }

    // Guards against a sound attempt cut although it went on before its successor was placed.
    @Test
    fun `a takeover is withdrawn when the silent target goes on`() {
        forEachRepeatable { scenario ->
            val later = start + 3.seconds
            scenario.stayQuiet(1, later)
            scenario.exchange.onResponseHead(1, head(200), later)
            scenario.exchange.onBody(1, "id: 2\n\n".encodeToByteArray(), later)
            assertEquals(1, scenario.policy.cancelled)
            assertEquals(emptyList(), scenario.exchange.onPlacement(Placed(two, null), later))
            assertIs<ExchangeEffect.End>(scenario.exchange.onEnd(1, true, later).last())
        }
    }

    // Guards against an answer ended because no other target had capacity for a takeover.
    @Test
    fun `a refused takeover leaves the response to the silent target`() {
        forEachRepeatable { scenario ->
            var now = start + 3.seconds
            repeat(3) { round ->
                scenario.stayQuiet(1, now)
                assertEquals(
                    round + 2,
                    scenario.policy.requests.size,
                    "asked again in round $round",
                )
                assertEquals(emptyList(), scenario.exchange.onPlacement(full, now))
                now += 3.seconds
            }
            scenario.exchange.onResponseHead(1, head(200), now)
            scenario.exchange.onBody(1, "id: 2\n\n".encodeToByteArray(), now)
            assertIs<ExchangeEffect.End>(scenario.exchange.onEnd(1, true, now).last())
        }
    }

    // Guards against retry budget spent on takeovers that never happened.
    @Test
    fun `a refused or withdrawn takeover costs no retry budget`() {
        val budget = RetryBudget(0.0, 2)
        val scenario = ExchangeScenario(CallKind.RESUMABLE_STREAM, one, budget = budget).begin()
        scenario.event(1, 1, start)
        scenario.stayQuiet(1, start + 3.seconds)
        scenario.exchange.onPlacement(full, start + 3.seconds)
        scenario.stayQuiet(1, start + 6.seconds)
        scenario.event(1, 2, start + 6.seconds)
        val requests = scenario.policy.requests.size
        assertEquals(3, requests, "a takeover was requested twice")
        scenario.exchange.onFailure(1, AttemptFailure.BROKEN, start + 6.seconds)
        assertEquals(requests + 1, scenario.policy.requests.size)
        val effects = scenario.exchange.onPlacement(Placed(two, null), start + 6.seconds)
        assertEquals("2", assertIs<ExchangeEffect.Send>(effects.single()).resumeAfterEventId)
    }

    // Guards against a second run of a stream whose caller reads slowly, at two sound targets.
    @Test
    fun `what is not read for a slow caller is no silence of the target`() {
        val scenario =
            ExchangeScenario(CallKind.RESUMABLE_STREAM, one, two, replicaTarget = two).begin()
        scenario.event(1, 1, start)
        assertEquals(emptyList(), scenario.exchange.onReading(false, start + 100.milliseconds))
        val resumed = start + 10.seconds
        assertEquals(emptyList(), scenario.stayQuiet(1, resumed))
        assertEquals(emptyList(), scenario.exchange.onProbe(1, false, resumed))
        assertEquals(emptyList(), scenario.exchange.onReading(true, resumed))
        assertTrue(scenario.exchange.wakeAt >= resumed + 300.milliseconds)
        assertEquals("id: 2\n\n", text(scenario.event(1, 2, resumed)))
        assertIs<ExchangeEffect.Send>(scenario.stayQuiet(1, resumed + 500.milliseconds).last())
    }

    // Guards against a takeover that was queued before the caller became slow.
    @Test
    fun `a queued takeover is withdrawn while the target is not read`() {
        val scenario = ExchangeScenario(CallKind.RESUMABLE_STREAM, one).begin()
        scenario.event(1, 1, start)
        scenario.stayQuiet(1, start + 3.seconds)
        assertEquals(emptyList(), scenario.exchange.onReading(false, start + 3.seconds))
        assertEquals(1, scenario.policy.cancelled)
        assertEquals(
            emptyList(),
            scenario.exchange.onPlacement(Placed(two, null), start + 4.seconds),
        )
    }

    // Guards against a takeover that outlives the attempt it was for.
    @Test
    fun `an attempt that breaks while its takeover is queued is retried as usual`() {
        forEachRepeatable { scenario ->
            val later = start + 3.seconds
            scenario.stayQuiet(1, later)
            val effects = scenario.exchange.onFailure(1, AttemptFailure.BROKEN, later)
            assertEquals(emptyList(), effects)
            assertEquals(1, scenario.policy.cancelled)
            assertEquals(3, scenario.policy.requests.size)
            val refused = scenario.exchange.onPlacement(full, later)
            val last = refused.single()
            assertTrue(last is ExchangeEffect.AbortResponse || last is ExchangeEffect.Refuse)
        }
    }

    // Guards against a takeover placed for a request that has ended.
    @Test
    fun `the caller, the deadline and a stop end both the attempt and its queued takeover`() {
        val ends = listOf<Exchange.() -> List<ExchangeEffect>>(
            { onCallerGone(start + 3.seconds) },
            { onTimer(call.deadline, ZERO) },
            { onStop(start + 3.seconds) },
        )
        ends.forEach { end ->
            forEachRepeatable { scenario ->
                scenario.stayQuiet(1, start + 3.seconds)
                assertEquals(ExchangeEffect.Cancel(1), scenario.exchange.end().first())
                assertEquals(1, scenario.policy.cancelled)
                assertEquals(1, scenario.policy.endings)
                assertTrue(scenario.exchange.isEnded)
                val placed = scenario.exchange.onPlacement(Placed(two, null), start + 3.seconds)
                assertEquals(emptyList(), placed)
            }
        }
    }

    // Guards against waiting for a target that only keeps its connection busy.
    @Test
    fun `single bytes neither withdraw a takeover nor extend the deadline`() {
        val scenario = ExchangeScenario(CallKind.IDEMPOTENT, one).begin()
        scenario.exchange.onResponseHead(1, head(200), start)
        scenario.stayQuiet(1, start + 3.seconds)
        scenario.exchange.onBody(1, byteArrayOf(1), start + 3.seconds)
        assertEquals(0, scenario.policy.cancelled)
        val effects = scenario.exchange.onTimer(scenario.exchange.wakeAt, ZERO)
        assertEquals(ErrorCode.TARGET_TIMEOUT, refusal(effects).code)
        assertEquals(start + 20.seconds, scenario.exchange.call.deadline)
    }

    // Guards against a replica that is read although its attempt goes on, or never.
    @Test
    fun `a takeover prefers the target with the replica and reads it`() {
        val scenario =
            ExchangeScenario(CallKind.RESUMABLE_STREAM, one, two, replicaTarget = two).begin()
        scenario.event(1, 1, start)
        val effects = scenario.exchange.onTimer(start + 380.milliseconds, ZERO)
        assertEquals(two.id, scenario.policy.requests.last().preferredTarget)
        assertEquals(ExchangeEffect.Cancel(1), effects[0])
        assertEquals(two.address, assertIs<ExchangeEffect.Send>(effects[1]).replicaAddress)
    }

    // Guards against an incident whose log does not tell what was concluded from a silence.
    @Test
    fun `the listener hears of each conclusion and once per attempt of tolerance`() {
        val heard = ArrayList<String>()
        val scenario =
            ExchangeScenario(CallKind.RESUMABLE_STREAM, one, listener = RecordingListener(heard))
        scenario.begin().event(1, 1, start)
        scenario.stayQuiet(1, start + 3.seconds)
        scenario.event(1, 2, start + 3.seconds)
        repeat(3) { round ->
            val now = start + (6 + 3 * round).seconds
            scenario.stayQuiet(1, now)
            scenario.exchange.onPlacement(full, now)
        }
        val expected = listOf(
            "requested after 700ms",
            "withdrawn: the target went on",
            "requested after 700ms",
            "withdrawn: refused: full",
            "tolerated: silent for 3s, no other target can take over",
        )
        assertEquals(expected, heard.take(expected.size))
        assertEquals(1, heard.count { it.startsWith("tolerated") })
        assertEquals(4, heard.count { it.startsWith("requested") })
        assertEquals(4, heard.count { it.startsWith("withdrawn") })
    }

    // Guards against silence without a line in the log where it has no consequence.
    @Test
    fun `tolerated silence of calls that may run once is reported once per attempt`() {
        listOf(CallKind.STREAM, CallKind.NON_IDEMPOTENT).forEach { kind ->
            val heard = ArrayList<String>()
            val scenario = ExchangeScenario(kind, one, listener = RecordingListener(heard))
            scenario.begin().stayQuiet(1, start + 10.seconds)
            assertEquals(1, heard.size, "$kind: $heard")
            assertTrue(heard.single().endsWith("the response cannot be repeated"), "$heard")
        }
    }

    private class RecordingListener(private val heard: MutableList<String>) : ExchangeListener {
        override fun onTakeoverRequested(
            call: Call,
            attemptNumber: Int,
            target: TargetEntry,
            silence: Duration,
            now: Instant,
        ) {
            heard += "requested after $silence"
        }

        override fun onTakeoverWithdrawn(
            call: Call,
            attemptNumber: Int,
            target: TargetEntry,
            reason: String,
            now: Instant,
        ) {
            heard += "withdrawn: $reason"
        }

        override fun onSilenceTolerated(
            call: Call,
            attemptNumber: Int,
            target: TargetEntry,
            reason: String,
            now: Instant,
        ) {
            heard += "tolerated: $reason"
        }
    }

    /** Runs [test] on an idempotent call and on a resumable stream without another free target. */
    private fun forEachRepeatable(test: (ExchangeScenario) -> Unit) {
        test(ExchangeScenario(CallKind.IDEMPOTENT, one).begin())
        val stream = ExchangeScenario(CallKind.RESUMABLE_STREAM, one).begin()
        stream.event(1, 1, start)
        test(stream)
    }
}
