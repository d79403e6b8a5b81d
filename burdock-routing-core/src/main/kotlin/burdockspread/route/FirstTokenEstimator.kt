/** Expected time to the first token at one target. */
package burdockspread.route

import kotlin.math.pow
import kotlin.time.Duration.Companion.seconds

/** Estimates from the last load report, its age, and the host's own requests since. */
internal class FirstTokenEstimator(private val options: RouteOptions) {
    private val halfLifeMillis = options.reportHalfLife.inWholeMilliseconds.toDouble()
    private val adapterSeconds = options.adapterLoad.inWholeMilliseconds / MILLIS

    /** Requests at the target now, queued ones included, that [level] has to wait for. */
    fun load(member: Member, pool: PoolLoad, level: Int, nowMillis: Long): Double {
        val live = member.live
        val mean = pool.mean.get() * member.spec.batchSlots
        val report = live.report.get() ?: return maxOf(mean, live.inFlight.get().toDouble())
        val reportedMillis = report.reportedAt.toEpochMilliseconds()
        val trust = HALF.pow((nowMillis - reportedMillis) / halfLifeMillis)
        val ahead = report.running + queuedAhead(report, level)
        val added = live.addedSince(reportedMillis, nowMillis)
        val expected = ahead * trust + mean * (1 - trust) + added
        return maxOf(expected, 0.0)
    }

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

    /** The parts as an [Estimate]. */
    fun estimate(queue: Double, prefill: Double, load: Double, cached: Double): Estimate =
        Estimate(queue.seconds, prefill.seconds, load.seconds, cached.toInt())

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
