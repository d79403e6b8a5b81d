/** The response of an exchange to its caller. */
package burdockspread.forward.exchange

import burdockspread.error.Refusal
import burdockspread.forward.directory.TargetEntry
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlin.time.Instant

/**
 * Collects the effects of one step and tracks how much of the response the caller has received.
 * What may follow is a matter of the response's [phase]: only its operations exist.
 */
internal class ResponseEmitter(private val call: Call, private val listener: ExchangeListener) {
    private val framer = SseFramer(call.resumeAfterEventId)
    private var effects = persistentListOf<ExchangeEffect>()

    var phase: ResponsePhase = NotBegun()
        private set
    val isEnded: Boolean get() = phase is Ended

    /** Id of the last event that the caller has received. */
    val lastEventId: String? get() = framer.lastId

    /** Number of events that were forwarded. */
    val eventCount: Int get() = framer.events

    /** Whether a part of an event has arrived that is not complete. */
    val isWithinEvent: Boolean get() = framer.isWithinEvent

    /** Size of the incomplete event in bytes. */
    val pendingBytes: Int get() = framer.pendingBytes

    /** Number of bytes since the last event that was forwarded. */
    val bytesWithoutEvent: Int get() = framer.bytesWithoutEvent

    fun emit(effect: ExchangeEffect) {
        effects = effects.add(effect)
    }

    fun takeEffects(): ImmutableList<ExchangeEffect> = effects.also { effects = persistentListOf() }

    /** Discards an incomplete event, since another attempt follows. */
    fun restart(): Unit = framer.restart()

    fun onCallerGone(attempts: Int, now: Instant) {
        phase = Ended
        listener.onCallerGone(call, attempts, now)
    }

    /** Nothing has been sent to the caller, so any response may follow. */
    inner class NotBegun : EventPhase {
        /** Sends a complete response of a target. */
        fun respond(response: BufferedResponse, attempts: Int, now: Instant) {
            begin(response.head, response.body.size)
            if (response.body.isNotEmpty()) emit(ExchangeEffect.Body(response.body))
            end(response.head, response.target, attempts, now)
        }

        fun refuse(refusal: Refusal, attempts: Int, now: Instant) {
            phase = Ended
            listener.onRefused(call, refusal, attempts, now)
            emit(ExchangeEffect.Refuse(refusal))
        }

        /** Starts to forward a response that is too large to buffer with the [bytes] so far. */
        fun relay(head: ResponseHead, bytes: ByteArray) {
            begin(head, null)
            Relaying().also { phase = it }.forward(bytes)
        }

        override fun forwardEvents(head: ResponseHead, bytes: ByteArray): Unit =
            sendEvents(head, framer.feed(bytes))

        override fun finish(head: ResponseHead, attempt: Attempt, now: Instant): Unit =
            endStream(head, attempt, now)
    }

    /** A part of a stream has been sent, so only its further events may follow. */
    inner class Streaming :
        EventPhase,
        BegunPhase {
        override fun forwardEvents(head: ResponseHead, bytes: ByteArray): Unit =
            sendEvents(head, framer.feed(bytes))

        override fun finish(head: ResponseHead, attempt: Attempt, now: Instant): Unit =
            endStream(head, attempt, now)

        override fun abort(reason: String, attempts: Int, now: Instant): Unit =
            abortResponse(reason, attempts, now)
    }

    /** A part of a large response has been sent, so only the rest of its bytes may follow. */
    inner class Relaying :
        ForwardingPhase,
        BegunPhase {
        fun forward(bytes: ByteArray): Unit = emit(ExchangeEffect.Body(bytes))

        override fun finish(head: ResponseHead, attempt: Attempt, now: Instant): Unit =
            end(head, attempt.target, attempt.number, now)

        override fun abort(reason: String, attempts: Int, now: Instant): Unit =
            abortResponse(reason, attempts, now)
    }

    /** The response is complete, refused or aborted, or the caller has left. */
    data object Ended : ResponsePhase

    private fun sendEvents(head: ResponseHead, events: ByteArray) {
        if (events.isEmpty()) return
        beginStream(head, null)
        emit(ExchangeEffect.Body(events))
    }

    private fun endStream(head: ResponseHead, attempt: Attempt, now: Instant) {
        sendEvents(head, framer.finishStream())
        beginStream(head, 0)
        end(head, attempt.target, attempt.number, now)
    }

    private fun beginStream(head: ResponseHead, length: Int?) {
        if (phase !is NotBegun) return
        begin(head, length)
        phase = Streaming()
    }

    /** Starts the response to the caller; every status of a target leaves the host here. */
    private fun begin(head: ResponseHead, length: Int?) {
        check(head.isForwardable(call)) { "status ${head.status} must not be forwarded" }
        emit(ExchangeEffect.Begin(head, length))
    }

    private fun end(head: ResponseHead, target: TargetEntry, attempts: Int, now: Instant) {
        phase = Ended
        listener.onResponded(call, head.status, attempts, target, now)
        emit(ExchangeEffect.End)
    }

    private fun abortResponse(reason: String, attempts: Int, now: Instant) {
        phase = Ended
        listener.onResponseAborted(call, reason, attempts, now)
        emit(ExchangeEffect.AbortResponse)
    }
}

/** How much of a response the caller has received, and what may follow. */
internal sealed interface ResponsePhase

/** A phase in which events of a stream may follow. */
internal sealed interface EventPhase : ForwardingPhase {
    /** Forwards the events that [bytes] complete; [head] begins the response if none has. */
    fun forwardEvents(head: ResponseHead, bytes: ByteArray)
}

/** A phase in which a response can be forwarded as it arrives. */
internal sealed interface ForwardingPhase : ResponsePhase {
    /** Completes the response that was forwarded, as the target of [attempt] did with [head]. */
    fun finish(head: ResponseHead, attempt: Attempt, now: Instant)
}

/** A phase in which the caller has a part of the response. */
internal sealed interface BegunPhase : ResponsePhase {
    /** Closes the caller's connection so that the response cannot be taken for complete. */
    fun abort(reason: String, attempts: Int, now: Instant)
}
