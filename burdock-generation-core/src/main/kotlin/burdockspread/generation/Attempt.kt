/** State of one attempt of a generation. */
package burdockspread.generation

import burdockspread.id.AttemptNumber
import burdockspread.id.TargetId
import kotlin.time.Duration
import kotlin.time.Instant

/** An active attempt. */
internal class Attempt(val number: AttemptNumber, now: Instant) {
    var target: TargetId? = null
    var lastProgress: Instant = now
    var received: Int = 0

    /** Time of the next check of a stalled attempt, or null while it is not stalled. */
    var recheckAt: Instant? = null

    private val arrivals = ArrayDeque<Arrival>()

    /** Records [count] new tokens and returns the average time that each took. */
    fun progress(count: Int, now: Instant): Duration {
        val interval = (now - lastProgress) / count
        received += count
        lastProgress = now
        recheckAt = null
        arrivals.addLast(Arrival(now, received))
        if (arrivals.size > WINDOW_SIZE) arrivals.removeFirst()
        return interval
    }

    /**
     * Returns the average inter-token latency over the last arrivals, or null before there are
     * enough.
     */
    fun averageTokenInterval(): Duration? {
        if (arrivals.size < WINDOW_SIZE) return null
        val tokens = arrivals.last().received - arrivals.first().received
        return (arrivals.last().at - arrivals.first().at) / tokens
    }

    /** Discards past arrivals, so that the average covers later ones only. */
    fun resetWindow() = arrivals.clear()

    /** Restarts the timers after the process itself was paused. */
    fun resetTimers(now: Instant) {
        lastProgress = now
        recheckAt = null
        arrivals.clear()
    }

    private class Arrival(val at: Instant, val received: Int)

    private companion object {
        const val WINDOW_SIZE = 16
    }
}
