/** How long a caller's connection may stay idle. */
package burdockspread.forward.http

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * The longest idle limit that has been in force or was promised to the caller since the connection
 * became idle, since a caller does not learn at once of a shorter one.
 */
internal class IdleLimit(since: Instant, limit: Duration) {
    /** When the connection became idle. */
    var since: Instant = since
        private set

    /** The limit that applies, without the time that messages are under way. */
    var limit: Duration = limit
        private set
    private var promised = Duration.ZERO

    /** Records the limit that a response tells the caller. */
    fun promise(told: Duration) {
        promised = told
    }

    /** Starts a new idle time at [now] under the limit [newest]. */
    fun restart(now: Instant, newest: Duration) {
        since = now
        limit = maxOf(newest, promised)
    }

    /** Applies the limit [newest] from now on, unless the caller may know a longer one. */
    fun raise(newest: Duration) {
        limit = maxOf(limit, newest)
    }

    fun isExceeded(now: Instant): Boolean = now - since > limit + TRANSIT_TIME

    private companion object {
        /** Callers wait up to a second for a connection, a round trip, so a message may take it. */
        val TRANSIT_TIME = 1.seconds
    }
}
