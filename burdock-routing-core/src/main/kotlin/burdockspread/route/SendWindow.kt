/** Bound on a host's own requests in flight in one pool, found from late first tokens. */
package burdockspread.route

import java.util.concurrent.atomic.AtomicReference

/**
 * Additive increase, multiplicative decrease.
 *
 * Hosts that see the same old reports fill the same free slots at once; only the time that their
 * requests spend in the targets' queues shows it. The bound falls at most once a
 * second and rises only while it is in use.
 */
internal class SendWindow {
    private val state = AtomicReference(State(Double.MAX_VALUE, 0))
    private val queued = Average(0.0)

    /** Whether one more request may be sent beside [own] in flight. */
    fun admits(own: Int): Boolean = own < state.get().bound

    /** Takes the time that a request spent in a target's queue. */
    fun onQueued(seconds: Double, own: Int, nowMillis: Long) {
        queued.add(seconds, SAMPLE_PART)
        val mean = queued.get()
        state.updateAndGet { it.after(mean, own, nowMillis) }
    }

    private class State(val bound: Double, val cutMillis: Long) {
        fun after(seconds: Double, own: Int, nowMillis: Long): State = when {
            seconds > LATE_SECONDS -> cut(own, nowMillis)
            own >= bound * IN_USE -> State(bound + RISE / bound, cutMillis)
            else -> this
        }

        private fun cut(own: Int, nowMillis: Long): State {
            if (nowMillis - cutMillis < CUT_MILLIS) return this
            return State(maxOf(minOf(bound, own.toDouble()) * CUT, 1.0), nowMillis)
        }
    }

    private companion object {
        const val SAMPLE_PART = 0.1
        const val LATE_SECONDS = 0.4
        const val CUT_MILLIS = 1_000L
        const val CUT = 0.9
        const val IN_USE = 0.8
        const val RISE = 4.0
    }
}
