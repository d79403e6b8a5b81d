/** Baseline of a pool: medians and robust standard deviations. */
package burdockspread.health

import kotlin.math.abs
import kotlin.math.sqrt

internal class PoolBaseline(
    targetSums: Collection<DecayingSums>,
    private val options: OutlierOptions,
) {
    private val tokenRate =
        RobustStatistics(targetSums.mapNotNull { it.tokensPerMillisecond(options.minAttempts) })
    private val firstToken =
        RobustStatistics(targetSums.mapNotNull { it.meanFirstTokenMillis(options.minAttempts) })
    private val errorRate = medianRate(targetSums, OutlierReason.ERRORS)
    private val stallRate = medianRate(targetSums, OutlierReason.STALLS)

    /** Returns the criterion by which [sums] is worse than the pool, or null if there is none. */
    fun outlierReason(sums: DecayingSums): OutlierReason? = when {
        exceedsRate(sums, OutlierReason.STALLS, stallRate) -> OutlierReason.STALLS
        exceedsRate(sums, OutlierReason.ERRORS, errorRate) -> OutlierReason.ERRORS
        isSlow(sums) -> OutlierReason.SLOW
        isLate(sums) -> OutlierReason.LATE
        else -> null
    }

    private fun isSlow(sums: DecayingSums): Boolean {
        val rate = sums.tokensPerMillisecond(options.minAttempts) ?: return false
        val isOutside = tokenRate.median - rate > options.deviations * tokenRate.deviation
        return isOutside && rate < tokenRate.median * options.slowRatio
    }

    private fun isLate(sums: DecayingSums): Boolean {
        val time = sums.meanFirstTokenMillis(options.minAttempts) ?: return false
        val isOutside = time - firstToken.median > options.deviations * firstToken.deviation
        return isOutside && time > firstToken.median * options.lateRatio
    }

    /** Returns whether a count is significantly above what the pool's usual rate predicts. */
    private fun exceedsRate(sums: DecayingSums, reason: OutlierReason, usualRate: Double): Boolean {
        val expected = sums.attempts * usualRate
        val noise = options.deviations * sqrt(expected + 1)
        return sums.count(reason) > expected + noise
    }

    private fun medianRate(targetSums: Collection<DecayingSums>, reason: OutlierReason): Double {
        val rates = targetSums.filter { it.attempts >= options.minAttempts }.map { it.rate(reason) }
        return maxOf(RobustStatistics(rates).median, MIN_RATE)
    }

    private companion object {
        const val MIN_RATE = 0.001
    }
}

/** Median, and median absolute deviation scaled to a standard deviation. */
internal class RobustStatistics(values: List<Double>) {
    val median = medianOf(values)
    val deviation = MAD_TO_STANDARD_DEVIATION * medianOf(values.map { abs(it - median) })

    private fun medianOf(values: List<Double>): Double =
        if (values.isEmpty()) 0.0 else values.sorted()[values.size / 2]

    private companion object {
        const val MAD_TO_STANDARD_DEVIATION = 1.4826
    }
}
