/** Linear trend of one model's capacity in one failure domain. */
package burdockspread.health

import kotlin.math.abs
import kotlin.math.sqrt
import kotlin.time.Duration
import kotlin.time.Instant

/** Samples of the last hour, at most one per minute, and a least-squares fit of them. */
internal class CapacityTrend(private val options: FleetOptions) {
    private val samples = ArrayDeque<Sample>()

    fun add(at: Instant, slots: Double, used: Double, targets: Int) {
        val last = samples.lastOrNull()
        if (last != null && (at - last.at).inWholeSeconds < MIN_SAMPLE_INTERVAL_SECONDS) return
        samples.addLast(Sample(at, slots, used, targets.toDouble()))
        while (at - samples.first().at > options.trendWindow) samples.removeFirst()
    }

    /** Whether the history is long enough for a trend. */
    val hasEnoughHistory: Boolean
        get() = samples.size >= MIN_SAMPLES && timeSpan >= options.minTrend

    fun slotsPerHour(): Double = slope { it.slots }

    fun usedPerHour(): Double = slope { it.used }

    fun targetsPerHour(): Double = slope { it.targets }

    private val timeSpan: Duration get() = samples.last().at - samples.first().at

    /** Returns the least-squares slope in units per hour, or zero if it is not significant. */
    private inline fun slope(value: (Sample) -> Double): Double {
        if (!hasEnoughHistory) return 0.0
        val start = samples.first().at
        val meanX = samples.sumOf { hours(it.at - start) } / samples.size
        val meanY = samples.sumOf { value(it) } / samples.size
        var covariance = 0.0
        var varianceX = 0.0
        var varianceY = 0.0
        samples.forEach {
            val x = hours(it.at - start) - meanX
            val y = value(it) - meanY
            covariance += x * y
            varianceX += x * x
            varianceY += y * y
        }
        val slope = covariance / varianceX
        val residual = maxOf(varianceY - slope * covariance, 0.0) / (samples.size - 2)
        val standardError = sqrt(residual / varianceX)
        return if (abs(slope) > SIGNIFICANCE_STANDARD_ERRORS * standardError) slope else 0.0
    }

    private fun hours(duration: Duration): Double = duration.inWholeMilliseconds / MILLIS_PER_HOUR

    private class Sample(val at: Instant, val slots: Double, val used: Double, val targets: Double)

    private companion object {
        const val MIN_SAMPLE_INTERVAL_SECONDS = 55
        const val SIGNIFICANCE_STANDARD_ERRORS = 4
        const val MIN_SAMPLES = 5
        const val MILLIS_PER_HOUR = 3_600_000.0
    }
}
