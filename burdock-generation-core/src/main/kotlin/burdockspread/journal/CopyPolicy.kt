/** When and how the owner of a generation copies its journal. */
package burdockspread.journal

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * When and how the owner of a generation copies its journal.
 *
 * @property copyAfter age from which a generation is copied.
 * @property copyAfterTokens length from which a generation is copied, whatever its age.
 * @property interval shortest time between two batches to one holder.
 * @property ackTimeout time without an answer after which a holder counts as unreachable.
 * @property retryInterval time between two tries to reach an unreachable or full holder.
 */
public data class CopyPolicy(
    public val copyAfter: Duration = 5.seconds,
    public val copyAfterTokens: Int = 256,
    public val interval: Duration = 50.milliseconds,
    public val ackTimeout: Duration = 1.seconds,
    public val retryInterval: Duration = 2.seconds,
)
