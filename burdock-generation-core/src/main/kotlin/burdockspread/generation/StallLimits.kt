/** Limits on how long an attempt may be silent or slow. */
package burdockspread.generation

import burdockspread.recovery.RecoveryMode
import kotlin.time.Duration
import kotlin.time.Instant

/** Stall limits of one generation, from its policy and the expected latencies of targets. */
internal class StallLimits(
    private val spec: GenerationSpec,
    private val times: TokenLatencyTracker,
) {
    private val policy = spec.policy
    private val isSavingResources = policy.mode == RecoveryMode.SAVE_RESOURCES

    /** Time without a newly accepted token, and without another attempt, after which to give up. */
    val giveUpTimeout: Duration = policy.maxStall * GIVE_UP_FACTOR + spec.firstTokenTimeout

    /** Returns the time at which the attempt counts as stalled unless a token arrives. */
    fun deadline(attempt: Attempt): Instant = attempt.recheckAt ?: (
        attempt.lastProgress +
            if (attempt.received == 0) timeToFirstTokenLimit(attempt) else interTokenLimit(attempt)
        )

    /** Whether the attempt delivers tokens, but far more slowly than expected. */
    fun isTooSlow(attempt: Attempt): Boolean {
        val averageInterval = attempt.averageTokenInterval() ?: return false
        val expected = times.expectedInterTokenLatency(null, spec.model) ?: return false
        return averageInterval > expected * effectiveMultiple()
    }

    private fun timeToFirstTokenLimit(attempt: Attempt): Duration {
        val expected = times.expectedTimeToFirstToken(attempt.target, spec.model)
            ?: return spec.firstTokenTimeout
        val limit = maxOf(spec.firstTokenTimeout, policy.minStall)
        return (expected * effectiveMultiple()).coerceIn(policy.minStall, limit)
    }

    private fun interTokenLimit(attempt: Attempt): Duration {
        val expected = times.expectedInterTokenLatency(attempt.target, spec.model)
            ?: return policy.maxStall
        val limit = maxOf(policy.maxStall, policy.minStall)
        return (expected * effectiveMultiple()).coerceIn(policy.minStall, limit)
    }

    private fun effectiveMultiple(): Double =
        if (isSavingResources) policy.stallMultiple * SAVING_FACTOR else policy.stallMultiple

    private companion object {
        const val GIVE_UP_FACTOR = 3
        const val SAVING_FACTOR = 2.0
    }
}
