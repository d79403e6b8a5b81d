/** The body of a target's response on its way to the caller. */
package burdockspread.forward.exchange

import kotlin.time.Instant

/** Forwards events and responses too large to buffer as they arrive, and buffers the others. */
internal class ResponseAssembly(
    private val call: Call,
    private val emitter: ResponseEmitter,
    private val listener: ExchangeListener,
    private val options: ExchangeOptions,
) {
    private var lastEventAt = call.receivedAt

    /** Handles bytes that [attempt] received; returns the limit that they exceed, if any. */
    fun onBody(attempt: Attempt, bytes: ByteArray, now: Instant): String? {
        val head = attempt.head
        return when {
            attempt.isForeign -> attempt.skipBytes(bytes.size, options)
            head == null -> null
            attempt.isStreaming -> forwardEvents(attempt, head, bytes, now)
            attempt.isRelaying -> {
                attempt.onProgress(now)
                emitter.forward(head, bytes)
                null
            }
            else -> buffer(attempt, head, bytes, now)
        }
    }

    private fun forwardEvents(
        attempt: Attempt,
        head: ResponseHead,
        bytes: ByteArray,
        now: Instant,
    ): String? {
        val before = emitter.eventCount
        emitter.forwardEvents(head, bytes)
        if (emitter.eventCount > before) onEvent(attempt, now)
        attempt.onPartialProgress(emitter.pendingBytes, options, now)
        return if (emitter.pendingBytes > options.maxEventBytes) "an event" else null
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
        attempt.onPartialProgress(attempt.buffer.size(), options, now)
        if (attempt.buffer.size() <= options.bufferBytes) return null
        if (!head.isValidFor(call)) return "a response without signature or id"
        attempt.isRelaying = true
        emitter.forward(head, attempt.buffer.toByteArray())
        attempt.buffer.reset()
        return null
    }
}
