/** The claims of one shard, folded from its batches in order. */
package burdockspread.claim

import burdockspread.wire.claims.ClaimBatch
import burdockspread.wire.claims.ClaimRecord

/**
 * Folds batches into entries. The first claim on a key wins; only its holder can add an outcome.
 */
internal class ShardIndex {
    private val entries = LinkedHashMap<KeyHash, ClaimEntry>()

    /** Sequence number of the next batch to fold. */
    var nextBatchSequence = 0L
        private set

    val size: Int get() = entries.size

    operator fun get(key: KeyHash): ClaimEntry? = entries[key]

    /** Folds [batch], unless it has been folded already. */
    fun fold(batch: ClaimBatch) {
        if (batch.sequence < nextBatchSequence) return
        check(batch.sequence == nextBatchSequence) {
            "batch ${batch.sequence} does not follow ${nextBatchSequence - 1}"
        }
        batch.recordsList.forEach { fold(it, batch.sequence, batch.writtenAtMillis) }
        nextBatchSequence = batch.sequence + 1
    }

    /**
     * Drops claims below the low-water mark [lowWater]. Entries are kept in the order of their
     * claims.
     */
    fun retireBefore(lowWater: Long) {
        val cursor = entries.values.iterator()
        while (cursor.hasNext() && cursor.next().sequence < lowWater) cursor.remove()
        nextBatchSequence = maxOf(nextBatchSequence, lowWater)
    }

    private fun fold(record: ClaimRecord, sequence: Long, atMillis: Long) {
        val key = KeyHash.of(record.keyHash.toByteArray())
        val id = ClaimId(record.claimId)
        if (record.state == ClaimRecord.State.CLAIMED) {
            val body = KeyHash.of(record.bodySha256.toByteArray())
            entries.putIfAbsent(key, ClaimEntry(sequence, id, body, atMillis))
        } else {
            entries[key]?.takeIf { it.isHeldBy(id) }?.close(record.toDecision())
        }
    }
}
