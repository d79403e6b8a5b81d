package burdockspread.forward.exchange

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.forward.Fixture
import burdockspread.forward.catalog.CallKind
import burdockspread.forward.load.PlacementDecision
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.Size
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Promises to a caller whose targets fall silent; `-Djqwik.tries.default=N` runs more. */
class SilenceProperties {
    // Guards against any schedule of silence, without a break, that costs the caller its response.
    @Property(seed = "20261205")
    fun `a response that its target completes reaches the caller whole`(
        @ForAll kind: CallKind,
        @ForAll @IntRange(min = 0, max = 3) free: Int,
        @ForAll hasReplica: Boolean,
        @ForAll @Size(max = 20) events: List<
            @IntRange(min = 0, max = 8)
            Int,
            >,
    ) {
        val run = Run(kind, free, hasReplica)
        events.forEach(run::step)
        run.complete()
        assertTrue(run.isWhole, "the response is not whole: ${run.received}")
    }

    private class Run(private val kind: CallKind, free: Int, hasReplica: Boolean) {
        private val targets = List(1 + free) { Fixture.target("t$it") }
        private val scenario =
            ExchangeScenario(
                kind,
                *targets.toTypedArray(),
                replicaTarget = targets.last().takeIf { hasReplica },
                maxAttempts = if (kind.isRepeatable) 4 else 1,
            )
        private val exchange = scenario.exchange
        private var now: Instant = Fixture.START
        private var attempt = 0
        private var nextEvent = 1
        private var isHeadSent = false
        private val text = StringBuilder()
        private var isComplete = false
        val received: String get() = text.toString()
        val isWhole: Boolean get() = isComplete && received == body()

        init {
            accept(exchange.start(now))
        }

        fun step(event: Int) {
            when (event) {
                0, 1 -> sendEvent()
                2 -> trickle()
                3, 4, 5 -> stayQuiet((event - 2) * 300L)
                6 -> accept(exchange.onProbe(attempt, false, now))
                7 -> decide(PlacementDecision.Refused(FULL))
                else -> decide(PlacementDecision.Placed(SPARE, null))
            }
        }

        /** Lets the current target send the rest of the response. */
        fun complete() {
            sendHead()
            if (kind.isStream) {
                while (nextEvent <= EVENTS) sendEvent()
            } else {
                accept(exchange.onBody(attempt, body().encodeToByteArray(), now))
            }
            accept(exchange.onEnd(attempt, true, now))
        }

        private fun stayQuiet(millis: Long) {
            val until = minOf(now + millis.milliseconds, exchange.call.deadline - 1.seconds)
            while (exchange.wakeAt <= until) {
                now = maxOf(now, exchange.wakeAt)
                accept(exchange.onTimer(now, ZERO))
                if (exchange.wakeAt <= now) accept(exchange.onProbe(attempt, false, now))
            }
            now = maxOf(now, until)
        }

        private fun decide(decision: PlacementDecision) {
            val isQueued = scenario.policy.isQueued
            if (!isQueued) return
            scenario.policy.isQueued = false
            accept(exchange.onPlacement(decision, now))
        }

        private fun sendHead() {
            if (isHeadSent) return
            isHeadSent = true
            accept(exchange.onResponseHead(attempt, ExchangeScenario.head(200), now))
        }

        private fun sendEvent() {
            if (!kind.isStream || nextEvent > EVENTS) return
            sendHead()
            accept(exchange.onBody(attempt, event(nextEvent++).encodeToByteArray(), now))
        }

        private fun trickle() {
            if (!kind.isStream) return
            sendHead()
            accept(exchange.onBody(attempt, ": still here\n".encodeToByteArray(), now))
        }

        private fun accept(effects: List<ExchangeEffect>) = effects.forEach { effect ->
            when (effect) {
                is ExchangeEffect.Send -> onSend(effect)
                is ExchangeEffect.Body ->
                    text.append(String(effect.bytes).replace(": still here\n", ""))
                is ExchangeEffect.End -> isComplete = true
                is ExchangeEffect.Refuse, is ExchangeEffect.AbortResponse ->
                    error("silence ended the response: $effect")
                else -> Unit
            }
        }

        private fun onSend(send: ExchangeEffect.Send) {
            attempt = send.attemptNumber
            isHeadSent = false
            nextEvent = (send.resumeAfterEventId?.toInt() ?: 0) + 1
        }

        private fun event(id: Int) = "id: $id\ndata: $id\n\n"

        private fun body() =
            if (kind.isStream) (1..EVENTS).joinToString("", transform = ::event) else "the response"
    }

    private companion object {
        const val EVENTS = 5
        val FULL = Refusal(ErrorCode.OVERLOADED, "full", 1.seconds)
        val SPARE = Fixture.target("spare", domain = "south")
    }
}
