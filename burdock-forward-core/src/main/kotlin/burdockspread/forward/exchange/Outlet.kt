/** What an exchange tells its caller. */
package burdockspread.forward.exchange

import burdockspread.error.Refusal
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlin.time.Instant

/** Collects the effects of one step, and keeps how far the answer to the caller has got. */
internal class Outlet(private val call: Call, private val listener: ExchangeListener) {
    private val cutter = EventCutter(call.resumeAfter)
    private var effects = persistentListOf<ExchangeEffect>()

    /** Whether the caller has the head of an answer. */
    var begun = false
        private set
    var ended = false
        private set

    /** The last event that the caller has. */
    val lastEventId: String? get() = cutter.lastId

    fun emit(effect: ExchangeEffect) {
        effects = effects.add(effect)
    }

    fun takeEffects(): ImmutableList<ExchangeEffect> = effects.also { effects = persistentListOf() }

    /** Passes the events on that [bytes] complete; false when there are none. */
    fun passEvents(head: AnswerHead, bytes: ByteArray): Boolean {
        val events = cutter.feed(bytes)
        if (events.isEmpty()) return false
        pass(head, events)
        return true
    }

    /** Drops a part of an event, since another run follows. */
    fun restart(): Unit = cutter.restart()

    fun pass(head: AnswerHead, bytes: ByteArray) {
        begin(head, null)
        emit(ExchangeEffect.Body(bytes))
    }

    /** Ends an answer that was passed on as it came. */
    fun finish(head: AnswerHead, attempts: Int, now: Instant) {
        val rest = cutter.finish()
        if (rest.isNotEmpty()) pass(head, rest)
        begin(head, 0)
        end(head, attempts, now)
    }

    /** Answers with a whole answer of a target. */
    fun deliver(answer: HeldAnswer, attempts: Int, now: Instant) {
        begin(answer.head, answer.body.size)
        if (answer.body.isNotEmpty()) emit(ExchangeEffect.Body(answer.body))
        end(answer.head, attempts, now)
    }

    fun refuse(refusal: Refusal, attempts: Int, now: Instant) {
        ended = true
        listener.onRefused(call, refusal, attempts, now)
        emit(ExchangeEffect.Refuse(refusal))
    }

    fun breakOff(reason: String, attempts: Int, now: Instant) {
        ended = true
        listener.onBrokenOff(call, reason, attempts, now)
        emit(ExchangeEffect.BreakOff)
    }

    fun onCallerGone(attempts: Int, now: Instant) {
        ended = true
        listener.onCallerGone(call, attempts, now)
    }

    private fun begin(head: AnswerHead, length: Int?) {
        if (begun) return
        begun = true
        emit(ExchangeEffect.Begin(head, length))
    }

    private fun end(head: AnswerHead, attempts: Int, now: Instant) {
        ended = true
        listener.onAnswered(call, head.status, attempts, now)
        emit(ExchangeEffect.End)
    }
}
