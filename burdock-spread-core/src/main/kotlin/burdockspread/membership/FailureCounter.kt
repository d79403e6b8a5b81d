/** Consecutive failures that this host observed at one host or target. */
package burdockspread.membership

import kotlin.time.Duration
import kotlin.time.Instant

internal class FailureCounter {
    var refusals: Int = 0
        private set
    var timeouts: Int = 0
        private set
    private var lastFailureAt: Instant? = null

    fun onRefused(now: Instant) {
        refusals++
        lastFailureAt = now
    }

    fun onTimeout(now: Instant) {
        timeouts++
        lastFailureAt = now
    }

    /** Returns whether the last failure is less than [period] old. */
    fun isRecent(now: Instant, period: Duration): Boolean =
        lastFailureAt?.let { now - it < period } ?: false
}
