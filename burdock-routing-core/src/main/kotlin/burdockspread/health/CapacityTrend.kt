/** Trend of one model's slots in one failure domain. */
package burdockspread.health

import kotlin.math.abs
import kotlin.math.sqrt
import kotlin.time.Duration
import kotlin.time.Instant

/** Points of the last hour, at most one a minute, and the line through them. */
internal class CapacityTrend(private val options: FleetOptions) {
    private val points = ArrayDeque<Point>()

    fun add(at: Instant, slots: Double, used: Double, targets: Int) {
        val last = points.lastOrNull()
        if (last != null && (at - last.at).inWholeSeconds < POINT_SECONDS) return
        points.addLast(Point(at, slots, used, targets.toDouble()))
        while (at - points.first().at > options.trendWindow) points.removeFirst()
    }

    /** Whether the history is long enough for a trend. */
    val known: Boolean
        get() = points.size >= MIN_POINTS && span >= options.minTrend

    fun slotsPerHour(): Double = slope { it.slots }

    fun usedPerHour(): Double = slope { it.used }

    fun targetsPerHour(): Double = slope { it.targets }

    private val span: Duration get() = points.last().at - points.first().at

    /** Slope of the least-squares line in units per hour, or zero when noise explains it. */
    private inline fun slope(value: (Point) -> Double): Double {
        if (!known) return 0.0
        val start = points.first().at
        val meanX = points.sumOf { hours(it.at - start) } / points.size
        val meanY = points.sumOf { value(it) } / points.size
        var covariance = 0.0
        var varianceX = 0.0
        var varianceY = 0.0
        points.forEach {
            val x = hours(it.at - start) - meanX
            val y = value(it) - meanY
            covariance += x * y
            varianceX += x * x
            varianceY += y * y
        }
        val slope = covariance / varianceX
        val residual = maxOf(varianceY - slope * covariance, 0.0) / (points.size - 2)
        val standardError = sqrt(residual / varianceX)
        return if (abs(slope) > SIGNIFICANT_ERRORS * standardError) slope else 0.0
    }

    private fun hours(duration: Duration): Double = duration.inWholeMilliseconds / MILLIS_PER_HOUR

    private class Point(val at: Instant, val slots: Double, val used: Double, val targets: Double)

    private companion object {
        const val POINT_SECONDS = 55
        const val SIGNIFICANT_ERRORS = 4
        const val MIN_POINTS = 5
        const val MILLIS_PER_HOUR = 3_600_000.0
    }
}
