/** Recovery of a generation after its engine failed or stalled. */
package burdockspread.recovery

import kotlin.time.Duration

/** Trade-off between latency and resources during recovery. */
public enum class RecoveryMode {
    /** Starts another attempt when the stall timeout expires and cancels the stalled one. */
    RESUME_EARLY,

    /** Starts another attempt beside the stalled one; the first to deliver wins. */
    SIDE_BY_SIDE,

    /** Waits longer and prefers a target that has the prefix in its cache. */
    SAVE_RESOURCES,
}

/**
 * Recovery policy of one priority, from the document.
 *
 * @property stallMultiple multiple of the target's usual inter-token latency that counts as a
 *   stall.
 * @property maxAttempts maximum attempts of one generation, including the first.
 */
public data class RecoveryPolicy(
    public val mode: RecoveryMode,
    public val stallMultiple: Double,
    public val minStall: Duration,
    public val maxStall: Duration,
    public val maxAttempts: Int,
)
