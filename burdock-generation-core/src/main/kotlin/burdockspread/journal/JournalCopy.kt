/** Copy of a generation's journal as provided by its holder. */
package burdockspread.journal

import burdockspread.generation.FinishReason
import kotlinx.collections.immutable.ImmutableList
import kotlin.time.Instant

/**
 * Metadata of a copy, without its tokens.
 *
 * @property owner the latest continuation known to the holder, which may not have sent anything
 *   yet.
 * @property lineage origin of the [length] tokens held.
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

    /** Another host has taken the generation over as [by]. */
    public data class Superseded(public val by: BranchId) : ClaimOutcome

    /** The holder has no copy. */
    public data object Missing : ClaimOutcome
}
