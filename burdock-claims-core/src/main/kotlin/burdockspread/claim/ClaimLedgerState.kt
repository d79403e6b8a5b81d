/** State of the claims ledger for dumps and metrics. */
package burdockspread.claim

import kotlinx.collections.immutable.ImmutableList

/** State of one process's ledger. */
public data class ClaimLedgerState(public val shards: ImmutableList<ShardState>)

/**
 * State of one shard in one process.
 *
 * @property nextSequence sequence of the batch after the last one known.
 * @property entries claims that are held in memory.
 * @property waiting asks without a decision.
 * @property outcomes outcomes that are not in the store yet.
 * @property doubtful claims in writes that have no answer yet.
 */
public data class ShardState(
    public val shard: Int,
    public val nextSequence: Long,
    public val entries: Int,
    public val waiting: Int,
    public val outcomes: Int,
    public val doubtful: Int,
)
