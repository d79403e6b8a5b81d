/** A copy of a generation's journal as its holder gives it out. */
package burdockspread.journal

import burdockspread.generation.FinishReason
import kotlinx.collections.immutable.ImmutableList
import kotlin.time.Instant

/**
 * What a copy holds, without its tokens.
 *
 * @property owner the latest continuation that the holder knows, which may have sent nothing yet.
 * @property lineage where the [length] held tokens came from.
 */
public data class CopyHead(
    public val key: CopyKey,
    public val owner: BranchId,
    public val lineage: Lineage,
    public val length: Int,
    public val finish: FinishReason?,
)

/** A whole copy, handed to a host that takes the generation over or replays its answer. */
public data class JournalCopy(
    public val head: CopyHead,
    public val tokens: ImmutableList<String>,
    public val body: String,
    public val createdAt: Instant,
)

/** Answer of a holder to a host that wants to take a generation over. */
public sealed interface ClaimOutcome {
    /** The holder refuses batches of earlier continuations from now on. */
    public data class Claimed(public val copy: JournalCopy) : ClaimOutcome

    /** Another host took the generation over as [by]. */
    public data class Superseded(public val by: BranchId) : ClaimOutcome

    /** The holder has no copy. */
    public data object Missing : ClaimOutcome
}
