/** Bounds the routine lines of a log. */
package burdockspread.forward.log

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * Lets each event write a bounded number of lines a second, so that answers cannot crowd out
 * failures, and counts what was left out. Not thread-safe, without input or output.
 *
 * @param perSecond lines of one event a second.
 * @param burst lines of one event that may come at once.
 */
public class LineBudget(
    private val perSecond: Double = LINES_PER_SECOND,
    private val burst: Double = BURST,
) {
    private val events = HashMap<String, Bucket>()
    private var reportedAt: Instant = Instant.DISTANT_PAST

    /** Whether a line of [event] may be written at [now]. */
    public fun take(event: String, now: Instant): Boolean {
        val bucket = events.getOrPut(event) { Bucket(now) }
        val grown = (now - bucket.at).toDouble(DurationUnit.SECONDS) * perSecond
        bucket.lines = minOf(burst, bucket.lines + grown)
        bucket.at = now
        if (bucket.lines < 1.0) {
            bucket.leftOut++
            return false
        }
        bucket.lines--
        return true
    }

    /** Lines left out by event since the last report; empty within [REPORT_INTERVAL] of it. */
    public fun report(now: Instant): ImmutableMap<String, Int> {
        if (now - reportedAt < REPORT_INTERVAL) return persistentMapOf()
        val counts = events.filterValues { it.leftOut > 0 }.mapValues { it.value.leftOut }
        if (counts.isEmpty()) return persistentMapOf()
        reportedAt = now
        events.values.forEach { it.leftOut = 0 }
        return counts.toImmutableMap()
    }

    private inner class Bucket(var at: Instant) {
        var lines = burst
        var leftOut = 0
    }

    public companion object {
        /** Twice the requests of a host at the size of today, per event. */
        public const val LINES_PER_SECOND: Double = 60.0

        /** A loss of a failure domain ends some hundred requests of a host at once. */
        public const val BURST: Double = 300.0
        private val REPORT_INTERVAL: Duration = 1.seconds
    }
}
