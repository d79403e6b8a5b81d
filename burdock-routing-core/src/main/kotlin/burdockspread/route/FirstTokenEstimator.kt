/** Estimates of the time to the first token at one target. */
package burdockspread.route

import kotlin.math.pow
import kotlin.time.Duration.Companion.seconds

/** Combines the last load report, its age and the host's own requests sent since then. */
internal class FirstTokenEstimator(private val options: RouteOptions) {
    private val halfLifeMillis = options.reportHalfLife.inWholeMilliseconds.toDouble()
    private val adapterLoadTimeSeconds =
        options.adapterLoadTime.inWholeMilliseconds / MILLIS_PER_SECOND

    /**
     * Returns the expected number of requests at the target, including queued ones, that a request
     * of priority [level] has to wait for.
     *
     * A fresh report is used together with the own requests sent since. As it ages, the pool's mean
     * takes its place, corrected by the own requests in flight here, which are always known.
     */
    fun expectedLoad(member: PoolMember, pool: PoolLoad, level: Int, nowMillis: Long): Double {
        val state = member.state
        val ownInFlight = state.inFlight.get()
        val poolEstimate =
            pool.mean.get() * member.spec.batchSlots + ownInFlight - pool.ownInFlightPerTarget()
        val report = state.report.get() ?: return maxOf(poolEstimate, ownInFlight.toDouble())
        val reportedMillis = report.reportedAt.toEpochMilliseconds()
        val reportEstimate = report.running + queuedAhead(report, level) +
            state.addedSince(reportedMillis, nowMillis)
        val reportWeight = reportWeight(report, nowMillis)
        return maxOf(
            reportEstimate * reportWeight + poolEstimate * (1 - reportWeight),
            ownInFlight.toDouble(),
        )
    }

    /** Returns the standard error of [expectedLoad]; old reports miss other hosts' requests. */
    fun uncertainty(member: PoolMember, pool: PoolLoad, nowMillis: Long): Double {
        val reportWeight = member.state.report.get()?.let { reportWeight(it, nowMillis) } ?: 0.0
        return (1 - reportWeight) * pool.deviation.get() * member.spec.batchSlots
    }

    private fun reportWeight(report: LoadReport, nowMillis: Long): Double =
        HALF.pow((nowMillis - report.reportedAt.toEpochMilliseconds()) / halfLifeMillis)

    /** Returns the expected seconds in the target's queue. */
    fun queueSeconds(member: PoolMember, load: Double): Double {
        val slots = member.spec.batchSlots
        val excess = load + 1 - slots
        return if (excess <= 0) 0.0 else excess / slots * member.state.slotSeconds.get()
    }

    /** Returns the expected seconds of prefill when [cached] tokens of the prompt are cached. */
    fun prefillSeconds(member: PoolMember, promptTokens: Int, cached: Double): Double {
        val rate = member.state.report.get()?.promptTokensPerSecond ?: options.initialPromptRate
        val pendingTokens = maxOf(member.state.pendingPromptTokens.get(), 0)
        return (pendingTokens + maxOf(promptTokens - cached, 0.0)) / rate
    }

    /** Returns the seconds to load [adapter], or zero if the target has it loaded. */
    fun adapterLoadSeconds(member: PoolMember, adapter: String): Double =
        if (adapter.isEmpty() || adapter in member.spec.adapters) 0.0 else adapterLoadTimeSeconds

    /** Builds a [FirstTokenEstimate] from its components in seconds. */
    fun estimate(
        queue: Double,
        prefill: Double,
        adapterLoad: Double,
        cached: Double,
    ): FirstTokenEstimate =
        FirstTokenEstimate(queue.seconds, prefill.seconds, adapterLoad.seconds, cached.toInt())

    /** Returns the requests per batch slot according to [report]. */
    fun loadPerSlot(report: LoadReport, slots: Int): Double =
        (report.running + report.queued) / slots.toDouble()

    private fun queuedAhead(report: LoadReport, level: Int): Int {
        val levels = report.queuedByLevel
        var sum = 0
        for (index in 0..minOf(level, levels.size - 1)) sum += levels[index]
        return sum
    }

    private companion object {
        const val HALF = 0.5
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
