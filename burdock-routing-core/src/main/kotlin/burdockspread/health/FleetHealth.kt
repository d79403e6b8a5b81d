/** Aggregates the summaries of the failure domains to a view of the fleet. */
package burdockspread.health

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

/** Keeps the summaries of the last hour. Thread-safe. */
public interface FleetHealth {
    /** Processes a summary. A summary older than the latest of its domain is ignored. */
    public fun onSummary(summary: DomainSummary)

    /** Returns the view at [now]. */
    public fun view(now: Instant): FleetView

    /** Creates [FleetHealth] instances. */
    public companion object {
        /** Returns an instance without summaries. */
        public operator fun invoke(options: FleetOptions = FleetOptions()): FleetHealth =
            RealFleetHealth(options)
    }
}

/** Settings of [FleetHealth]. */
public data class FleetOptions(
    /** Time window of the trend. */
    public val trendWindow: Duration = 1.hours,
    /** Minimum history needed for a trend. */
    public val minTrend: Duration = 10.minutes,
    /** Time before a model reaches its floor or full use at which a warning is raised. */
    public val warningHorizon: Duration = 6.hours,
    /** Loss per hour, as a fraction of the total, below which a trend counts as noise. */
    public val minLossPerHour: Double = 0.03,
    /** Headroom below which a warning is raised immediately. */
    public val lowHeadRoom: Double = 0.1,
    /** Age of a domain's latest summary after which the domain counts as silent. */
    public val silentAfter: Duration = 2.minutes,
)
