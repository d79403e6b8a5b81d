/** The baseline: a generation restarts from its first token after an engine failure. */
package burdockspread.bench.generation

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A generation that restarts from its first token after each failure, with a fixed timeout. */
internal class NaiveRun(
    private val length: Int,
    private val failuresPerHour: Double,
    private val engines: EngineModel,
    private val stats: EngineStats,
) {
    private var delivered = 0
    private var timeSinceFailure: Duration? = null

    /** Runs until the output is complete or [MAX_ATTEMPTS] are used up. */
    fun run() {
        var attempts = 0
        while (delivered < length && attempts < MAX_ATTEMPTS) {
            if (attempts++ > 0) stats.extraAttempts++
            attempt(isRetry = attempts > 1)
        }
        stats.generations++
        if (delivered == length) stats.completed++
    }

    private fun attempt(isRetry: Boolean) {
        val uptime = engines.uptime(failuresPerHour)
        val uncachedTokens = engines.uncachedTokens(0, preferCached = false)
        if (isRetry) stats.reprefilledTokens += uncachedTokens
        var elapsed = engines.prefill(uncachedTokens, preferCached = false)
        var offset = 0
        while (offset < length) {
            if (elapsed >= uptime) return onFailure(elapsed)
            if (offset++ < delivered) stats.duplicateTokens++ else deliver(elapsed)
            elapsed += engines.tokenInterval()
        }
    }

    private fun deliver(elapsed: Duration) {
        delivered++
        stats.delivered++
        timeSinceFailure?.let { stats.recordResume(it + elapsed) }
        timeSinceFailure = null
    }

    private fun onFailure(elapsed: Duration) {
        stats.losses++
        val detection =
            if (engines.fault() == EngineFault.FREEZES) CONSTANT_TIMEOUT else Duration.ZERO
        val before = timeSinceFailure
        timeSinceFailure = detection + if (before == null) Duration.ZERO else before + elapsed
    }

    private companion object {
        const val MAX_ATTEMPTS = 64
        val CONSTANT_TIMEOUT = 10.seconds
    }
}
