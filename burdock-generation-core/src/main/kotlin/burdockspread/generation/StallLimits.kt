/** How long an attempt may be silent or slow. */
package burdockspread.generation

import burdockspread.recovery.RecoveryMode
import kotlin.time.Duration
import kotlin.time.Instant

/** Limits of one generation, from its policy and the usual times of targets. */
internal class StallLimits(
    private val spec: GenerationSpec,
    private val times: TokenLatencyTracker,
) {
    private val policy = spec.policy
    private val saves = policy.mode == RecoveryMode.SAVE_RESOURCES

    /** Time without a new accepted token, and without another attempt, after which to give up. */
    val patience: Duration = policy.maxStall * PATIENCE_FACTOR + spec.firstTokenTimeout

    /** Time at which the attempt counts as stalled unless a token comes. */
    fun deadline(attempt: Attempt): Instant = attempt.checkAgainAt ?: (
        attempt.lastProgress + if (attempt.received == 0) firstToken(attempt) else between(attempt)
        )

    /** Whether the attempt delivers, but far more slowly than is usual. */
    fun crawls(attempt: Attempt): Boolean {
        val pace = attempt.pace() ?: return false
        val usual = times.expectedInterTokenLatency(null, spec.model) ?: return false
        return pace > usual * multiple()
    }

    private fun firstToken(attempt: Attempt): Duration {
        val usual = times.expectedTimeToFirstToken(attempt.target, spec.model)
            ?: return spec.firstTokenTimeout
        val limit = maxOf(spec.firstTokenTimeout, policy.minStall)
        return (usual * multiple()).coerceIn(policy.minStall, limit)
    }

    private fun between(attempt: Attempt): Duration {
        val usual = times.expectedInterTokenLatency(attempt.target, spec.model)
            ?: return policy.maxStall
        val limit = maxOf(policy.maxStall, policy.minStall)
        return (usual * multiple()).coerceIn(policy.minStall, limit)
    }

    private fun multiple(): Double =
        if (saves) policy.stallMultiple * SAVING_FACTOR else policy.stallMultiple

    private companion object {
        const val PATIENCE_FACTOR = 3
        const val SAVING_FACTOR = 2.0
    }
}
