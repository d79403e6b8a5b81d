/** Measurement of the time to the first token and of resume latency. */
package burdockspread.stream

import burdockspread.observe.EntryListener
import burdockspread.observe.GenerationTag
import kotlin.time.Instant

/** Reports the time to the first token and the resume latency of one generation. */
internal class ResumeLatencyRecorder(
    private val listener: EntryListener,
    private val tag: GenerationTag,
    private val startedAt: Instant,
) {
    private var lastTokenAt: Instant? = null
    private var attemptsSeen = 1

    /** Records tokens accepted at [offset] when [attempts] have been opened so far. */
    fun recordTokens(offset: Int, attempts: Int, now: Instant) {
        val last = lastTokenAt
        when {
            last == null -> listener.onFirstToken(tag, now - startedAt)
            attempts > attemptsSeen -> listener.onResumed(tag, now - last, offset)
        }
        attemptsSeen = attempts
        lastTokenAt = now
    }
}
