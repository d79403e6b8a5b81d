/** Batches of tokens from an owner to the holder of a copy. */
package burdockspread.journal

import burdockspread.generation.FinishReason
import burdockspread.id.GenerationId
import kotlinx.collections.immutable.ImmutableList
import kotlin.time.Instant

/** Key of one generation of a request. */
public data class CopyKey(public val request: RequestKey, public val generation: GenerationId)

/**
 * Tokens of one generation from [offset] on.
 *
 * @property lineage origin of all tokens up to the end of this batch; its latest branch is the
 *   sender.
 * @property finish set when the answer ends with this batch.
 * @property body the caller's request as JSON, set only in batches from offset 0.
 */
public data class JournalBatch(
    public val key: CopyKey,
    public val lineage: Lineage,
    public val offset: Int,
    public val tokens: ImmutableList<String>,
    public val finish: FinishReason?,
    public val body: String?,
    public val createdAt: Instant,
)

/** Answer of a holder to one [JournalBatch]. */
public sealed interface AppendOutcome {
    /** The copy holds [length] tokens, and the end of the answer if [finished]. */
    public data class Appended(public val length: Int, public val finished: Boolean) : AppendOutcome

    /** The copy ends before the batch starts; resend from [length]. */
    public data class Gap(public val length: Int) : AppendOutcome

    /** Another host has taken the generation over as [by]. */
    public data class Superseded(public val by: BranchId) : AppendOutcome

    /** No memory is left for this copy. */
    public data object NoRoom : AppendOutcome
}
