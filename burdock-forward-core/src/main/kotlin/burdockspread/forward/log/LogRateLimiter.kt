/** Rate limit for routine log lines. */
package burdockspread.forward.log

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * Token bucket per event that limits its lines per second, so that routine responses cannot crowd
 * out failures; counts the suppressed lines. Not thread-safe and does no I/O.
 *
 * @param linesPerSecond sustained rate of one event.
 * @param burst number of lines of one event that may be written at once.
 */
public class LogRateLimiter(
    private val linesPerSecond: Double = LINES_PER_SECOND,
    private val burst: Double = BURST,
) {
    private val buckets = HashMap<String, Bucket>()
    private var reportedAt: Instant = Instant.DISTANT_PAST

    /** Returns whether a line of [event] may be written at [now]. */
    public fun tryAcquire(event: String, now: Instant): Boolean {
        val bucket = buckets.getOrPut(event) { Bucket(now) }
        val refill = (now - bucket.at).toDouble(DurationUnit.SECONDS) * linesPerSecond
        bucket.lines = minOf(burst, bucket.lines + refill)
        bucket.at = now
        if (bucket.lines < 1.0) {
            bucket.suppressed++
            return false
        }
        bucket.lines--
        return true
    }

    /** Returns suppressed lines by event since the last report, at most every [REPORT_INTERVAL]. */
    public fun takeSuppressed(now: Instant): ImmutableMap<String, Int> {
        if (now - reportedAt < REPORT_INTERVAL) return persistentMapOf()
        val counts = buckets.filterValues { it.suppressed > 0 }.mapValues { it.value.suppressed }
        if (counts.isEmpty()) return persistentMapOf()
        reportedAt = now
        buckets.values.forEach { it.suppressed = 0 }
        return counts.toImmutableMap()
    }

    private inner class Bucket(var at: Instant) {
        var lines = burst
        var suppressed = 0
    }

    public companion object {
        /** Twice the request rate of a host at the current deployment size, per event. */
        public const val LINES_PER_SECOND: Double = 60.0

        /** The loss of a failure domain ends several hundred requests of a host at once. */
        public const val BURST: Double = 300.0
        private val REPORT_INTERVAL: Duration = 1.seconds
    }
}
