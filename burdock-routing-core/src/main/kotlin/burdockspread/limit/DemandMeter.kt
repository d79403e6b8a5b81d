/** Demand of one organisation at one host, refused requests included. */
package burdockspread.limit

import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

internal class DemandMeter {
    private val requests = AtomicLong()
    private val tokens = AtomicLong()
    private val open = AtomicInteger()
    private val peak = AtomicInteger()
    private var requestRate = 0.0
    private var tokenRate = 0.0
    private var peakRate = 0.0
    private var lastMillis = 0L

    fun request(expectedTokens: Int) {
        requests.incrementAndGet()
        tokens.addAndGet(expectedTokens.toLong())
        peak.accumulateAndGet(open.get() + 1, ::maxOf)
    }

    fun tokens(count: Int) {
        tokens.addAndGet(count.toLong())
    }

    fun opened() {
        open.incrementAndGet()
    }

    fun closed() {
        open.decrementAndGet()
    }

    /** Demand as a part of [limit] since the last call, smoothed; called by one thread. */
    fun read(limit: OrganisationLimit, nowMillis: Long): Double {
        val elapsed = (nowMillis - lastMillis).coerceIn(1, MAX_GAP_MILLIS) / MILLIS
        lastMillis = nowMillis
        requestRate = smooth(requestRate, requests.getAndSet(0) / elapsed)
        tokenRate = smooth(tokenRate, tokens.getAndSet(0) / elapsed)
        peakRate = maxOf(peak.getAndSet(open.get()).toDouble(), peakRate / FALL)
        if (peakRate < NEGLIGIBLE) peakRate = 0.0
        return maxOf(
            part(requestRate, limit.requestsPerSecond),
            part(tokenRate, limit.tokensPerSecond),
            part(peakRate, limit.concurrent.toDouble()),
        )
    }

    /**
     * Follows dense demand at once and down to a quarter each second. Sparse demand, of which a
     * second shows little, is averaged over several seconds.
     */
    private fun smooth(old: Double, new: Double): Double {
        val next = when {
            maxOf(old, new) < SPARSE -> old + (new - old) * SPARSE_PART
            new > old -> new
            else -> new + (old - new) / FALL
        }
        return if (next < NEGLIGIBLE) 0.0 else next
    }

    private fun part(rate: Double, limit: Double): Double = if (limit > 0) rate / limit else 0.0

    private companion object {
        const val MILLIS = 1_000.0
        const val MAX_GAP_MILLIS = 10_000L
        const val FALL = 4
        const val SPARSE = 2.0
        const val SPARSE_PART = 0.25
        const val NEGLIGIBLE = 0.02
    }
}
