/** Measures the demand of one organisation at one host, including refused requests. */
package burdockspread.limit

import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

internal class DemandMeter {
    private val requests = AtomicLong()
    private val tokens = AtomicLong()
    private val open = AtomicInteger()
    private val peakOpen = AtomicInteger()
    private var requestRate = 0.0
    private var tokenRate = 0.0
    private var smoothedPeak = 0.0
    private var lastMillis = 0L

    fun onRequest(expectedTokens: Int) {
        requests.incrementAndGet()
        tokens.addAndGet(expectedTokens.toLong())
        peakOpen.accumulateAndGet(open.get() + 1, ::maxOf)
    }

    fun onTokens(count: Int) {
        tokens.addAndGet(count.toLong())
    }

    fun onOpened() {
        open.incrementAndGet()
    }

    fun onClosed() {
        open.decrementAndGet()
    }

    /** Returns the smoothed demand as a fraction of [limit]. Must be called by one thread only. */
    fun takeDemand(limit: OrganisationLimit, nowMillis: Long): Double {
        val elapsed = (nowMillis - lastMillis).coerceIn(1, MAX_INTERVAL_MILLIS) / MILLIS_PER_SECOND
        lastMillis = nowMillis
        requestRate = smooth(requestRate, requests.getAndSet(0) / elapsed)
        tokenRate = smooth(tokenRate, tokens.getAndSet(0) / elapsed)
        smoothedPeak =
            maxOf(peakOpen.getAndSet(open.get()).toDouble(), smoothedPeak / DECAY_DIVISOR)
        if (smoothedPeak < NEGLIGIBLE_DEMAND) smoothedPeak = 0.0
        return maxOf(
            ratio(requestRate, limit.requestsPerSecond),
            ratio(tokenRate, limit.tokensPerSecond),
            ratio(smoothedPeak, limit.concurrent.toDouble()),
        )
    }

    /**
     * Follows a rise of demand immediately and lets a fall decay to a quarter each second. Sparse
     * demand, for which one second has too few samples, is averaged over several seconds.
     */
    private fun smooth(old: Double, new: Double): Double {
        val smoothed = when {
            maxOf(old, new) < SPARSE_RATE -> old + (new - old) * SPARSE_WEIGHT
            new > old -> new
            else -> new + (old - new) / DECAY_DIVISOR
        }
        return if (smoothed < NEGLIGIBLE_DEMAND) 0.0 else smoothed
    }

    private fun ratio(rate: Double, limit: Double): Double = if (limit > 0) rate / limit else 0.0

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val MAX_INTERVAL_MILLIS = 10_000L
        const val DECAY_DIVISOR = 4
        const val SPARSE_RATE = 2.0
        const val SPARSE_WEIGHT = 0.25
        const val NEGLIGIBLE_DEMAND = 0.02
    }
}
