/** How a generation goes on after its engine died or stalled. */
package burdockspread.recovery

import kotlin.time.Duration

/** Whether recovery spends resources for latency or the other way round. */
public enum class RecoveryMode {
    /** Starts another attempt as soon as the stall timeout ends and cancels the stalled one. */
    RESUME_EARLY,

    /** Starts another attempt beside the stalled one; the first to deliver wins. */
    SIDE_BY_SIDE,

    /** Waits longer and prefers a target that holds the prefix in its cache. */
    SAVE_RESOURCES,
}

/**
 * Recovery policy of one priority, from the document.
 *
 * @property stallMultiple multiple of the target's usual time between tokens that is a stall.
 * @property maxAttempts attempts of one generation, the first included.
 */
public data class RecoveryPolicy(
    public val mode: RecoveryMode,
    public val stallMultiple: Double,
    public val minStall: Duration,
    public val maxStall: Duration,
    public val maxAttempts: Int,
)
