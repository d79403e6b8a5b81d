/** One organisation's limits on one host: what the path of a request touches. */
package burdockspread.limit

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.id.OrganisationId
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

internal class LocalLimit(val organisation: OrganisationId, limit: OrganisationLimit) {
    private val requests = TokenBucket()
    private val tokens = TokenBucket()
    private val open = AtomicInteger()
    private val meanTokens = AtomicLong(INITIAL_TOKENS)
    val demand = DemandMeter()

    @Volatile
    var limit: OrganisationLimit = limit

    /** Part of the limit that this host may use, in [ShareUnits], until [grantedUntilMillis]. */
    @Volatile
    var granted: Granted = Granted(0, 0)

    /** Part of the limit that this host always has, in [ShareUnits]. */
    @Volatile
    var base: Double = 0.0

    fun share(nowMillis: Long): Double = (base + granted.at(nowMillis)) / ShareUnits.WHOLE

    fun check(maxTokens: Int, now: Instant): LimitDecision {
        val nowMillis = now.toEpochMilliseconds()
        val share = share(nowMillis)
        val expected = minOf(maxTokens.toLong(), meanTokens.get()).toInt()
        demand.request(expected)
        val bound = limit.concurrent * share
        if (limit.concurrent > 0 && !enter(bound)) return tooMany()
        val refusal = takeTokens(expected, share, nowMillis) ?: takeRequest(expected, share, now)
        if (refusal != null) {
            leave()
            return refusal
        }
        demand.opened()
        return LimitDecision.Allowed(Permit(expected))
    }

    private fun enter(bound: Double): Boolean {
        while (true) {
            val before = open.get()
            if (before + 1 > bound) return false
            if (open.compareAndSet(before, before + 1)) return true
        }
    }

    private fun leave() {
        if (limit.concurrent > 0) open.decrementAndGet()
    }

    private fun takeTokens(expected: Int, share: Double, nowMillis: Long): LimitDecision? {
        if (limit.tokensPerSecond <= 0) return null
        val rate = limit.tokensPerSecond * share
        val capacity = maxOf(rate, expected.toDouble())
        val taken = tokens.tryTake(
            expected.toDouble(),
            expected.toDouble(),
            rate,
            capacity,
            nowMillis,
        )
        if (taken) return null
        return limited(tokens.millisUntil(expected.toDouble(), rate, capacity, nowMillis))
    }

    private fun takeRequest(expected: Int, share: Double, now: Instant): LimitDecision? {
        if (limit.requestsPerSecond <= 0) return null
        val nowMillis = now.toEpochMilliseconds()
        val rate = limit.requestsPerSecond * share
        val capacity = maxOf(rate, MIN_BURST)
        if (requests.tryTake(1.0, 1.0, rate, capacity, nowMillis)) return null
        if (limit.tokensPerSecond > 0) tokens.charge(-expected.toDouble())
        return limited(requests.millisUntil(1.0, rate, capacity, nowMillis))
    }

    private fun limited(millis: Long): LimitDecision.Refused = LimitDecision.Refused(
        Refusal(ErrorCode.RATE_LIMITED, "$organisation is at its rate limit", millis.milliseconds),
        isShareRequested = true,
    )

    private fun tooMany(): LimitDecision.Refused {
        val detail = "$organisation has too many open requests"
        val refusal = Refusal(ErrorCode.TOO_MANY_CONCURRENT, detail, RETRY_CONCURRENT)
        return LimitDecision.Refused(refusal, isShareRequested = true)
    }

    /** Reserves [reserved] tokens and settles the difference at the end. */
    private inner class Permit(private val reserved: Int) : LimitPermit {
        private val used = AtomicInteger()
        private val released = AtomicBoolean()

        override fun onTokens(count: Int, now: Instant) {
            val before = used.getAndAdd(count)
            val beyond = before + count - maxOf(reserved, before)
            if (beyond > 0 && limit.tokensPerSecond > 0) {
                tokens.charge(beyond.toDouble())
                demand.tokens(beyond)
            }
        }

        override fun release(now: Instant) {
            if (!released.compareAndSet(false, true)) return
            val total = used.get()
            if (total < reserved && limit.tokensPerSecond > 0) {
                tokens.charge((total - reserved).toDouble())
            }
            meanTokens.updateAndGet { maxOf(it + (total - it) / MEAN_PART, 1) }
            demand.closed()
            leave()
        }
    }

    private companion object {
        const val INITIAL_TOKENS = 256L
        const val MIN_BURST = 3.0
        const val MEAN_PART = 8
        val RETRY_CONCURRENT = 500.milliseconds
    }
}

/** A share in [ShareUnits] that ends at [untilMillis]. */
internal class Granted(val amount: Int, val untilMillis: Long) {
    fun at(nowMillis: Long): Int = if (nowMillis < untilMillis) amount else 0
}
