/** Adaptive limit of a host's own requests in flight in one pool, driven by queueing delay. */
package burdockspread.route

import java.util.concurrent.atomic.AtomicReference

/**
 * Congestion window with additive increase and multiplicative decrease (AIMD).
 *
 * Hosts that act on the same outdated load reports fill the same free slots at the same time. This
 * only shows in the time that their requests spend in the targets' queues. The limit decreases at
 * most once a second and increases only while it is nearly reached.
 */
internal class SendWindow {
    private val state = AtomicReference(State(Double.MAX_VALUE, 0))
    private val queueSeconds = MovingAverage(0.0)

    /** Returns whether a request may be sent while [inFlight] others are in flight. */
    fun allows(inFlight: Int): Boolean = inFlight < state.get().limit

    /** Records the time that a request spent in a target's queue. */
    fun onQueueTime(seconds: Double, inFlight: Int, nowMillis: Long) {
        queueSeconds.add(seconds, SAMPLE_WEIGHT)
        val meanSeconds = queueSeconds.get()
        state.updateAndGet { it.next(meanSeconds, inFlight, nowMillis) }
    }

    private class State(val limit: Double, val decreasedMillis: Long) {
        fun next(seconds: Double, inFlight: Int, nowMillis: Long): State = when {
            seconds > MAX_QUEUE_SECONDS -> decrease(inFlight, nowMillis)
            inFlight >= limit * IN_USE_FRACTION -> State(limit + INCREASE / limit, decreasedMillis)
            else -> this
        }

        private fun decrease(inFlight: Int, nowMillis: Long): State {
            if (nowMillis - decreasedMillis < MIN_DECREASE_INTERVAL_MILLIS) return this
            return State(maxOf(minOf(limit, inFlight.toDouble()) * DECREASE_FACTOR, 1.0), nowMillis)
        }
    }

    private companion object {
        const val SAMPLE_WEIGHT = 0.1
        const val MAX_QUEUE_SECONDS = 0.4
        const val MIN_DECREASE_INTERVAL_MILLIS = 1_000L
        const val DECREASE_FACTOR = 0.9
        const val IN_USE_FRACTION = 0.8
        const val INCREASE = 4.0
    }
}
