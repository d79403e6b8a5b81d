/** The body of a target's response on its way to the caller. */
package burdockspread.forward.exchange

import burdockspread.buffer.BufferAccount
import burdockspread.forward.load.AttemptOutcome
import kotlin.time.Instant

/**
 * Forwards events and responses too large to buffer as they arrive, and buffers the others.
 *
 * @param kept what this request may keep of the host's memory.
 */
internal class ResponseAssembly(
    private val call: Call,
    private val emitter: ResponseEmitter,
    private val listener: ExchangeListener,
    private val options: ExchangeOptions,
    private val kept: BufferAccount,
) {
    private var lastEventAt = call.receivedAt

    /** Handles bytes that [attempt] received; returns the limit that they exceed, if any. */
    fun onBody(attempt: Attempt, bytes: ByteArray, now: Instant): String? {
        val head = attempt.head
        val phase = emitter.phase
        return when {
            attempt.isForeign -> attempt.skipBytes(bytes.size, options)
            head == null -> null
            phase is ResponseEmitter.Relaying -> {
                attempt.onProgress(now)
                phase.forward(bytes)
                null
            }
            attempt.isStreaming && phase is EventPhase -> {
                val before = emitter.eventCount
                phase.forwardEvents(head, bytes)
                onEvents(attempt, emitter.eventCount - before, now)
            }
            else -> buffer(attempt, head, bytes, now)
        }
    }

    /** Discards what is kept of an attempt, since another one follows. */
    fun restart() {
        emitter.restart()
        kept.release()
    }

    /** Returns the memory of a request that has ended. */
    fun release(): Unit = kept.release()

    /** Returns what the complete response of [attempt] lacks to be a whole stream, if anything. */
    fun shortfall(attempt: Attempt, head: ResponseHead): String? = when {
        !attempt.isStreaming -> null
        emitter.isWithinEvent -> "the stream ended within an event"
        head.endsWithConnection && attempt.eventCount == 0 -> "the stream ended before its events"
        else -> null
    }

    private fun onEvents(attempt: Attempt, count: Int, now: Instant): String? {
        if (count > 0) onEvent(attempt, now)
        val pending = emitter.pendingBytes
        attempt.onPartialProgress(pending, options, now)
        return when {
            pending > options.maxEventBytes -> "an event"
            emitter.bytesWithoutEvent > options.maxBytesWithoutEvent -> "the bytes between events"
            !kept.tryKeep(pending) -> "an event, beside those of other responses"
            else -> null
        }
    }

    private fun onEvent(attempt: Attempt, now: Instant) {
        attempt.onProgress(now)
        if (attempt.eventCount++ == 0 && attempt.number > 1) {
            listener.onResumed(call, attempt.number, attempt.target, now - lastEventAt, now)
        }
        lastEventAt = now
    }

    private fun buffer(
        attempt: Attempt,
        head: ResponseHead,
        bytes: ByteArray,
        now: Instant,
    ): String? {
        attempt.buffer.write(bytes)
        val size = attempt.buffer.size()
        attempt.onPartialProgress(size, options, now)
        if (size <= options.bufferBytes && kept.tryKeep(size)) return null
        if (!head.isForwardable(call)) return "a response that must not be forwarded"
        val phase = emitter.phase
        if (phase !is ResponseEmitter.NotBegun) return "a response that is not the stream"
        attempt.isRelaying = true
        attempt.onProgress(now)
        phase.relay(head, attempt.buffer.toByteArray())
        attempt.buffer.reset()
        kept.release()
        return null
    }
}

/** Returns what a complete response says about the target. */
internal fun ResponseHead.outcome(): AttemptOutcome =
    if (isFailure) AttemptOutcome.FAILED else AttemptOutcome.DONE
