/** What is usual in a pool: medians and their robust spread. */
package burdockspread.health

import kotlin.math.abs
import kotlin.math.sqrt

internal class PoolBaseline(windows: Collection<DecayWindow>, private val options: OutlierOptions) {
    private val tokenRate = Spread(windows.mapNotNull { it.tokenRate(options.minAttempts) })
    private val firstToken = Spread(windows.mapNotNull { it.firstTokenTime(options.minAttempts) })
    private val errorRate = usualRate(windows, OutlierReason.ERRORS)
    private val stallRate = usualRate(windows, OutlierReason.STALLS)

    /** In what [window] is worse than the pool, or null. */
    fun judge(window: DecayWindow): OutlierReason? = when {
        tooMany(window, OutlierReason.STALLS, stallRate) -> OutlierReason.STALLS
        tooMany(window, OutlierReason.ERRORS, errorRate) -> OutlierReason.ERRORS
        slow(window) -> OutlierReason.SLOW
        late(window) -> OutlierReason.LATE
        else -> null
    }

    private fun slow(window: DecayWindow): Boolean {
        val rate = window.tokenRate(options.minAttempts) ?: return false
        val outside = tokenRate.median - rate > options.deviations * tokenRate.deviation
        return outside && rate < tokenRate.median * options.slowRatio
    }

    private fun late(window: DecayWindow): Boolean {
        val time = window.firstTokenTime(options.minAttempts) ?: return false
        val outside = time - firstToken.median > options.deviations * firstToken.deviation
        return outside && time > firstToken.median * options.lateRatio
    }

    /** Compares a count with what the pool's usual rate makes likely. */
    private fun tooMany(window: DecayWindow, reason: OutlierReason, usual: Double): Boolean {
        val expected = window.attempts * usual
        val noise = options.deviations * sqrt(expected + 1)
        return window.count(reason) > expected + noise
    }

    private fun usualRate(windows: Collection<DecayWindow>, reason: OutlierReason): Double {
        val rates = windows.filter { it.attempts >= options.minAttempts }.map { it.rate(reason) }
        return maxOf(Spread(rates).median, LOWEST_RATE)
    }

    private companion object {
        const val LOWEST_RATE = 0.001
    }
}

/** Median and median absolute deviation, scaled to a standard deviation. */
internal class Spread(values: List<Double>) {
    val median = medianOf(values)
    val deviation = SCALE * medianOf(values.map { abs(it - median) })

    private fun medianOf(values: List<Double>): Double =
        if (values.isEmpty()) 0.0 else values.sorted()[values.size / 2]

    private companion object {
        const val SCALE = 1.4826
    }
}
