/** The state of one attempt of a generation. */
package burdockspread.generation

import burdockspread.id.AttemptNumber
import burdockspread.id.TargetId
import kotlin.time.Duration
import kotlin.time.Instant

/** One open attempt. */
internal class Attempt(val number: AttemptNumber, now: Instant) {
    var target: TargetId? = null
    var lastProgress: Instant = now
    var received: Int = 0

    /** Set once the attempt stalled: it is looked at again then. */
    var checkAgainAt: Instant? = null

    private val arrivals = ArrayDeque<Arrival>()

    /** Notes [count] new tokens and returns the time that each took. */
    fun progress(count: Int, now: Instant): Duration {
        val each = (now - lastProgress) / count
        received += count
        lastProgress = now
        checkAgainAt = null
        arrivals.addLast(Arrival(now, received))
        if (arrivals.size > WINDOW) arrivals.removeFirst()
        return each
    }

    /** Time of each token over the last arrivals, or null before there are enough. */
    fun pace(): Duration? {
        if (arrivals.size < WINDOW) return null
        val tokens = arrivals.last().received - arrivals.first().received
        return (arrivals.last().at - arrivals.first().at) / tokens
    }

    /** Judges the pace by later arrivals only. */
    fun restartWindow() = arrivals.clear()

    /** Starts the clocks anew after the process itself was paused. */
    fun forgive(now: Instant) {
        lastProgress = now
        checkAgainAt = null
        arrivals.clear()
    }

    private class Arrival(val at: Instant, val received: Int)

    private companion object {
        const val WINDOW = 16
    }
}
