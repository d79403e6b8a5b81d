/** Builds the view of the fleet from the summaries of the failure domains. */
package burdockspread.health

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

/** Keeps the summaries of the last hour. Safe for several threads. */
public interface FleetHealth {
    /** Takes a summary; older ones than the last of the domain are ignored. */
    public fun onSummary(summary: DomainSummary)

    /** The view at [now]. */
    public fun view(now: Instant): FleetView

    /** Makes fleet views. */
    public companion object {
        /** An empty one. */
        public operator fun invoke(options: FleetOptions = FleetOptions()): FleetHealth =
            RealFleetHealth(options)
    }
}

/** Settings of the fleet's view. */
public data class FleetOptions(
    /** Time over which the trend is taken. */
    public val trendWindow: Duration = 1.hours,
    /** History that a trend needs. */
    public val minTrend: Duration = 10.minutes,
    /** A floor or full model that is nearer than this gives a warning. */
    public val warningHorizon: Duration = 6.hours,
    /** Changes in an hour below this part of the slots are noise. */
    public val minLossPerHour: Double = 0.03,
    /** Head-room below which a warning is given at once. */
    public val lowHeadRoom: Double = 0.1,
    /** Age of a domain's last summary after which it counts as silent. */
    public val silentAfter: Duration = 2.minutes,
)
