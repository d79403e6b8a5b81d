/** Enforces one organisation's limits on one host, on the critical path of requests. */
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
    private val meanTokensPerRequest = AtomicLong(INITIAL_MEAN_TOKENS)
    val demand = DemandMeter()

    @Volatile
    var limit: OrganisationLimit = limit

    /** Fraction of the limit that is granted to this host, in [ShareUnits], until it expires. */
    @Volatile
    var grantedShare: GrantedShare = GrantedShare(0, 0)

    /** Fraction of the limit that this host always has, in [ShareUnits]. */
    @Volatile
    var baseShare: Double = 0.0

    fun share(nowMillis: Long): Double = (baseShare + grantedShare.at(nowMillis)) / ShareUnits.WHOLE

    fun check(maxTokens: Int, now: Instant): LimitDecision {
        val nowMillis = now.toEpochMilliseconds()
        val share = share(nowMillis)
        val expectedTokens = minOf(maxTokens.toLong(), meanTokensPerRequest.get()).toInt()
        demand.onRequest(expectedTokens)
        val maxOpen = limit.concurrent * share
        if (limit.concurrent > 0 && !tryOpen(maxOpen)) return tooManyConcurrent()
        val refusal = reserveTokens(expectedTokens, share, nowMillis)
            ?: reserveRequest(expectedTokens, share, now)
        if (refusal != null) {
            close()
            return refusal
        }
        demand.onOpened()
        return LimitDecision.Allowed(Permit(expectedTokens))
    }

    private fun tryOpen(maxOpen: Double): Boolean {
        while (true) {
            val before = open.get()
            if (before + 1 > maxOpen) return false
            if (open.compareAndSet(before, before + 1)) return true
        }
    }

    private fun close() {
        if (limit.concurrent > 0) open.decrementAndGet()
    }

    private fun reserveTokens(expectedTokens: Int, share: Double, nowMillis: Long): LimitDecision? {
        if (limit.tokensPerSecond <= 0) return null
        val rate = limit.tokensPerSecond * share
        val capacity = maxOf(rate, expectedTokens.toDouble())
        val isReserved = tokens.tryTake(
            expectedTokens.toDouble(),
            expectedTokens.toDouble(),
            rate,
            capacity,
            nowMillis,
        )
        if (isReserved) return null
        return rateLimited(tokens.millisUntil(expectedTokens.toDouble(), rate, capacity, nowMillis))
    }

    private fun reserveRequest(expectedTokens: Int, share: Double, now: Instant): LimitDecision? {
        if (limit.requestsPerSecond <= 0) return null
        val nowMillis = now.toEpochMilliseconds()
        val rate = limit.requestsPerSecond * share
        val capacity = maxOf(rate, MIN_BURST_REQUESTS)
        if (requests.tryTake(1.0, 1.0, rate, capacity, nowMillis)) return null
        if (limit.tokensPerSecond > 0) tokens.charge(-expectedTokens.toDouble())
        return rateLimited(requests.millisUntil(1.0, rate, capacity, nowMillis))
    }

    private fun rateLimited(millis: Long): LimitDecision.Refused = LimitDecision.Refused(
        Refusal(ErrorCode.RATE_LIMITED, "$organisation is at its rate limit", millis.milliseconds),
        isShareRequested = true,
    )

    private fun tooManyConcurrent(): LimitDecision.Refused {
        val detail = "$organisation has too many open requests"
        val refusal = Refusal(ErrorCode.TOO_MANY_CONCURRENT, detail, CONCURRENT_RETRY_AFTER)
        return LimitDecision.Refused(refusal, isShareRequested = true)
    }

    /** Permit with [reserved] tokens; the difference to the tokens used is settled on release. */
    private inner class Permit(private val reserved: Int) : LimitPermit {
        private val usedTokens = AtomicInteger()
        private val isReleased = AtomicBoolean()

        override fun onTokens(count: Int, now: Instant) {
            val before = usedTokens.getAndAdd(count)
            val excess = before + count - maxOf(reserved, before)
            if (excess > 0 && limit.tokensPerSecond > 0) {
                tokens.charge(excess.toDouble())
                demand.onTokens(excess)
            }
        }

        override fun release(now: Instant) {
            if (!isReleased.compareAndSet(false, true)) return
            val actualTokens = usedTokens.get()
            if (actualTokens < reserved && limit.tokensPerSecond > 0) {
                tokens.charge((actualTokens - reserved).toDouble())
            }
            meanTokensPerRequest.updateAndGet { maxOf(it + (actualTokens - it) / MEAN_DIVISOR, 1) }
            demand.onClosed()
            close()
        }
    }

    private companion object {
        const val INITIAL_MEAN_TOKENS = 256L
        const val MIN_BURST_REQUESTS = 3.0
        const val MEAN_DIVISOR = 8
        val CONCURRENT_RETRY_AFTER = 500.milliseconds
    }
}

/** Share of a limit in [ShareUnits] that expires at [untilMillis]. */
internal class GrantedShare(val amount: Int, val untilMillis: Long) {
    fun at(nowMillis: Long): Int = if (nowMillis < untilMillis) amount else 0
}
