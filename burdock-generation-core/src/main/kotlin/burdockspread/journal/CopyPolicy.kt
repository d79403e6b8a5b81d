/** Policy by which the owner of a generation copies its journal. */
package burdockspread.journal

import burdockspread.recovery.RecoveryMode
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * When and how the owner of a generation copies its journal.
 *
 * @property copyAfter age from which a generation is copied.
 * @property copyAfterTokens length from which a generation is copied, whatever its age.
 * @property interval minimum time between two batches to one holder.
 * @property ackTimeout time without an answer after which a holder counts as unreachable.
 * @property retryInterval time between two attempts to reach an unreachable or full holder.
 */
public data class CopyPolicy(
    public val copyAfter: Duration = 2.seconds,
    public val copyAfterTokens: Int = 128,
    public val interval: Duration = 25.milliseconds,
    public val ackTimeout: Duration = 1.seconds,
    public val retryInterval: Duration = 2.seconds,
) {
    public companion object {
        private val SAVING_INTERVAL = 250.milliseconds

        /** Returns the policy for a priority that recovers in [mode]. */
        public fun of(mode: RecoveryMode): CopyPolicy = when (mode) {
            RecoveryMode.SAVE_RESOURCES -> CopyPolicy(interval = SAVING_INTERVAL)
            RecoveryMode.RESUME_EARLY, RecoveryMode.SIDE_BY_SIDE -> CopyPolicy()
        }
    }
}
