/** Failures in a row that this host saw at one host or target. */
package burdockspread.membership

import kotlin.time.Duration
import kotlin.time.Instant

internal class Failures {
    var refusals: Int = 0
        private set
    var timeouts: Int = 0
        private set
    private var lastAt: Instant? = null

    fun onRefused(now: Instant) {
        refusals++
        lastAt = now
    }

    fun onTimeout(now: Instant) {
        timeouts++
        lastAt = now
    }

    /** Whether the last failure is less than [period] old. */
    fun isRecent(now: Instant, period: Duration): Boolean =
        lastAt?.let { now - it < period } ?: false
}
