/** The claims of one shard, folded from its batches in their order. */
package burdockspread.claim

import burdockspread.wire.claims.ClaimBatch
import burdockspread.wire.claims.ClaimRecord

/** Folds batches into entries. The first claim on a key wins; only its holder adds an outcome. */
internal class ShardIndex {
    private val entries = LinkedHashMap<KeyHash, ClaimEntry>()

    /** Sequence of the next batch to fold. */
    var next = 0L
        private set

    val size: Int get() = entries.size

    operator fun get(key: KeyHash): ClaimEntry? = entries[key]

    /** Folds [batch], unless it was folded before. */
    fun fold(batch: ClaimBatch) {
        if (batch.sequence < next) return
        check(batch.sequence == next) { "batch ${batch.sequence} after ${next - 1}" }
        batch.recordsList.forEach { fold(it, batch.sequence, batch.writtenAtMillis) }
        next = batch.sequence + 1
    }

    /** Forgets claims from before [lowWater]. Entries stand in the order of their claims. */
    fun retireBefore(lowWater: Long) {
        val each = entries.values.iterator()
        while (each.hasNext() && each.next().sequence < lowWater) each.remove()
        next = maxOf(next, lowWater)
    }

    private fun fold(record: ClaimRecord, sequence: Long, atMillis: Long) {
        val key = KeyHash.of(record.keyHash.toByteArray())
        val id = ClaimId(record.claimId)
        if (record.state == ClaimRecord.State.CLAIMED) {
            val body = KeyHash.of(record.bodySha256.toByteArray())
            entries.putIfAbsent(key, ClaimEntry(sequence, id, body, atMillis))
        } else {
            entries[key]?.takeIf { it.isOpen(id) }?.close(record.toDecision())
        }
    }
}
