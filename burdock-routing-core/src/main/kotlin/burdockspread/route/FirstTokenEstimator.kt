/** Expected time to the first token at one target. */
package burdockspread.route

import kotlin.math.pow
import kotlin.time.Duration.Companion.seconds

/** Estimates from the last load report, its age, and the host's own requests since. */
internal class FirstTokenEstimator(private val options: RouteOptions) {
    private val halfLifeMillis = options.reportHalfLife.inWholeMilliseconds.toDouble()
    private val adapterSeconds = options.adapterLoadTime.inWholeMilliseconds / MILLIS

    /**
     * Requests at the target now, queued ones included, that [level] has to wait for.
     *
     * A fresh report counts with the own requests since. An old one gives way to the pool's mean,
     * corrected by the own requests in flight here, which are always known.
     */
    fun load(member: Member, pool: PoolLoad, level: Int, nowMillis: Long): Double {
        val live = member.live
        val own = live.inFlight.get()
        val usual = pool.mean.get() * member.spec.batchSlots + own - pool.ownMean()
        val report = live.report.get() ?: return maxOf(usual, own.toDouble())
        val reportedMillis = report.reportedAt.toEpochMilliseconds()
        val fresh = report.running + queuedAhead(report, level) +
            live.addedSince(reportedMillis, nowMillis)
        val trust = trust(report, nowMillis)
        return maxOf(fresh * trust + usual * (1 - trust), own.toDouble())
    }

    /** Standard error of [load]: an old report says little about what other hosts sent. */
    fun uncertainty(member: Member, pool: PoolLoad, nowMillis: Long): Double {
        val trust = member.live.report.get()?.let { trust(it, nowMillis) } ?: 0.0
        return (1 - trust) * pool.deviation.get() * member.spec.batchSlots
    }

    private fun trust(report: LoadReport, nowMillis: Long): Double =
        HALF.pow((nowMillis - report.reportedAt.toEpochMilliseconds()) / halfLifeMillis)

    /** Seconds in the target's queue. */
    fun queueSeconds(member: Member, load: Double): Double {
        val slots = member.spec.batchSlots
        val excess = load + 1 - slots
        return if (excess <= 0) 0.0 else excess / slots * member.live.slotSeconds.get()
    }

    /** Seconds to work through the prompt when [cached] tokens of it need no work. */
    fun prefillSeconds(member: Member, promptTokens: Int, cached: Double): Double {
        val rate = member.live.report.get()?.promptTokensPerSecond ?: options.initialPromptRate
        val pending = maxOf(member.live.pendingPromptTokens.get(), 0)
        return (pending + maxOf(promptTokens - cached, 0.0)) / rate
    }

    /** Seconds to load the request's adapter, if the target lacks it. */
    fun loadSeconds(member: Member, adapter: String): Double =
        if (adapter.isEmpty() || adapter in member.spec.adapters) 0.0 else adapterSeconds

    /** The parts as an [FirstTokenEstimate]. */
    fun estimate(queue: Double, prefill: Double, load: Double, cached: Double): FirstTokenEstimate =
        FirstTokenEstimate(queue.seconds, prefill.seconds, load.seconds, cached.toInt())

    /** Load for each slot that [report] shows. */
    fun slotLoad(report: LoadReport, slots: Int): Double =
        (report.running + report.queued) / slots.toDouble()

    private fun queuedAhead(report: LoadReport, level: Int): Int {
        val levels = report.queuedByLevel
        var sum = 0
        for (index in 0..minOf(level, levels.size - 1)) sum += levels[index]
        return sum
    }

    private companion object {
        const val HALF = 0.5
        const val MILLIS = 1_000.0
    }
}
