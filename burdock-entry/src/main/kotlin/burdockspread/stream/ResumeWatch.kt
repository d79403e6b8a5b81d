/** Measures how long callers wait for the first token and after a lost attempt. */
package burdockspread.stream

import burdockspread.observe.EntryListener
import burdockspread.observe.GenerationTag
import kotlin.time.Instant

/** Reports the time to the first token and the resume latency of one generation. */
internal class ResumeWatch(
    private val listener: EntryListener,
    private val tag: GenerationTag,
    private val startedAt: Instant,
) {
    private var lastTokenAt: Instant? = null
    private var attemptsSeen = 1

    /** Notes tokens accepted at [offset] when [attempts] have been opened so far. */
    fun accepted(offset: Int, attempts: Int, now: Instant) {
        val last = lastTokenAt
        when {
            last == null -> listener.firstToken(tag, now - startedAt)
            attempts > attemptsSeen -> listener.resumed(tag, now - last, offset)
        }
        attemptsSeen = attempts
        lastTokenAt = now
    }
}
