/** State of the claims ledger for dumps and metrics. */
package burdockspread.claim

import kotlinx.collections.immutable.ImmutableList

/** State of one process's ledger. */
public data class ClaimLedgerState(public val shards: ImmutableList<ShardState>)

/**
 * State of one shard in one process.
 *
 * @property nextSequence sequence number after that of the last known batch.
 * @property entries claims held in memory.
 * @property pendingClaims attempts without a decision.
 * @property unwrittenOutcomes outcomes that are not in the store yet.
 * @property unresolvedClaims claims in writes that have not been answered yet.
 */
public data class ShardState(
    public val shard: Int,
    public val nextSequence: Long,
    public val entries: Int,
    public val pendingClaims: Int,
    public val unwrittenOutcomes: Int,
    public val unresolvedClaims: Int,
)
