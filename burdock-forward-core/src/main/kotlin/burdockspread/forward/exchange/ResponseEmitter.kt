/** The response of an exchange to its caller. */
package burdockspread.forward.exchange

import burdockspread.error.Refusal
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlin.time.Instant

/** Collects the effects of one step and tracks how much of the response the caller has received. */
internal class ResponseEmitter(private val call: Call, private val listener: ExchangeListener) {
    private val framer = SseFramer(call.resumeAfterEventId)
    private var effects = persistentListOf<ExchangeEffect>()

    /** Whether the response head has been sent to the caller. */
    var isHeadSent = false
        private set
    var isEnded = false
        private set

    /** Id of the last event that the caller has received. */
    val lastEventId: String? get() = framer.lastId

    /** Number of events that were forwarded. */
    val eventCount: Int get() = framer.events

    /** Size of the incomplete event in bytes. */
    val pendingBytes: Int get() = framer.pendingBytes

    fun emit(effect: ExchangeEffect) {
        effects = effects.add(effect)
    }

    fun takeEffects(): ImmutableList<ExchangeEffect> = effects.also { effects = persistentListOf() }

    /** Forwards the events that [bytes] complete. */
    fun forwardEvents(head: ResponseHead, bytes: ByteArray) {
        val events = framer.feed(bytes)
        if (events.isNotEmpty()) forward(head, events)
    }

    /** Discards an incomplete event, since another attempt follows. */
    fun restart(): Unit = framer.restart()

    fun forward(head: ResponseHead, bytes: ByteArray) {
        begin(head, null)
        emit(ExchangeEffect.Body(bytes))
    }

    /** Completes a response that was forwarded as it arrived. */
    fun finishStream(head: ResponseHead, attempts: Int, now: Instant) {
        val remainder = framer.finishStream()
        if (remainder.isNotEmpty()) forward(head, remainder)
        begin(head, 0)
        end(head, attempts, now)
    }

    /** Sends a complete response of a target. */
    fun respond(response: BufferedResponse, attempts: Int, now: Instant) {
        begin(response.head, response.body.size)
        if (response.body.isNotEmpty()) emit(ExchangeEffect.Body(response.body))
        end(response.head, attempts, now)
    }

    fun refuse(refusal: Refusal, attempts: Int, now: Instant) {
        isEnded = true
        listener.onRefused(call, refusal, attempts, now)
        emit(ExchangeEffect.Refuse(refusal))
    }

    fun abort(reason: String, attempts: Int, now: Instant) {
        isEnded = true
        listener.onResponseAborted(call, reason, attempts, now)
        emit(ExchangeEffect.AbortResponse)
    }

    fun onCallerGone(attempts: Int, now: Instant) {
        isEnded = true
        listener.onCallerGone(call, attempts, now)
    }

    private fun begin(head: ResponseHead, length: Int?) {
        if (isHeadSent) return
        isHeadSent = true
        emit(ExchangeEffect.Begin(head, length))
    }

    private fun end(head: ResponseHead, attempts: Int, now: Instant) {
        isEnded = true
        listener.onResponded(call, head.status, attempts, now)
        emit(ExchangeEffect.End)
    }
}
