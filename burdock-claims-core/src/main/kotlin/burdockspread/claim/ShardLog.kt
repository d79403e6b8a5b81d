/** The log of one shard as known to this process: the head, its window and the archives. */
package burdockspread.claim

import burdockspread.store.ObjectKey
import burdockspread.store.StoredObject
import burdockspread.store.WriteCondition
import burdockspread.wire.claims.ClaimArchive
import burdockspread.wire.claims.ClaimBatch
import burdockspread.wire.claims.ClaimHead
import burdockspread.wire.claims.ClaimRecord
import kotlin.time.Instant

/**
 * Tracks the head of a shard and composes the next one.
 *
 * Safety rests only on the conditional update of the head: a head composed from an old version is
 * never applied, so a batch always builds on every batch before it.
 */
internal class ShardLog(private val shard: Int, private val settings: ClaimSettings) {
    val index = ShardIndex()
    val headKey: ObjectKey = ClaimCodec.headKey(shard)
    private var head = VersionedHead(0, ClaimHead.getDefaultInstance(), 0)
    private var newestHead: VersionedHead? = null
    private var nextArchiveSequence = 0L
    private var lastArchivedSequence = -1L

    private class VersionedHead(val version: Long, val value: ClaimHead, val bytes: Int)

    /** The archive that must be read before the newest known head can be applied, or null. */
    val missingArchive: ObjectKey?
        get() = newestHead?.let { ClaimCodec.archiveKey(shard, nextArchiveSequence) }

    val lowWater: Long get() = head.value.lowWater
    val oldestArchive: ObjectKey? get() =
        ClaimCodec.archiveKey(shard, lowWater).takeIf { lowWater < head.value.windowFirst }

    /** Whether the window has reached its limit and has not been archived yet. */
    val windowFull: Boolean
        get() = lastArchivedSequence < head.value.windowFirst &&
            (
                head.value.windowCount >= settings.windowBatches ||
                    head.bytes >= settings.windowBytes
                )

    val condition: WriteCondition
        get() = if (head.version == 0L) {
            WriteCondition.Absent
        } else {
            WriteCondition.AtVersion(head.version)
        }

    /**
     * Accepts a head that was read. Returns whether it is newer and could be applied completely.
     */
    fun onHead(read: StoredObject): Boolean {
        if (read.version <= head.version) return false
        return accept(VersionedHead(read.version, ClaimCodec.decodeHead(read.value), read.size()))
    }

    /** Whether [read] is the version that is known already; null stands for a missing object. */
    fun isCurrent(read: StoredObject?): Boolean =
        newestHead == null && (read?.version ?: 0L) == head.version

    /** Accepts the [missingArchive]. Returns whether the newest known head has now been applied. */
    fun onArchive(read: StoredObject): Boolean {
        val archive = ClaimCodec.decodeArchive(read.value)
        archive.batchesList.forEach { index.fold(it) }
        nextArchiveSequence = archive.batchesList.last().sequence + 1
        return advance()
    }

    /** Discards the newest known head, because an archive needed to apply it has been retired. */
    fun dropNewestHead() {
        newestHead = null
    }

    /** Accepts the head that this process wrote as [version]. */
    fun onWritten(version: Long, value: ClaimHead, bytes: Int) {
        check(accept(VersionedHead(version, value, bytes))) { "own head does not follow the index" }
    }

    fun archiveKey(): ObjectKey = ClaimCodec.archiveKey(shard, head.value.windowFirst)

    fun archiveOfWindow(): ClaimArchive =
        ClaimArchive.newBuilder().addAllBatches(head.value.windowList).build()

    /**
     * Accepts the contents of the archive at [archiveKey]. Returns false when this head is
     * outdated.
     */
    fun onArchived(archive: ClaimArchive): Boolean {
        val last = archive.batchesList.last().sequence
        if (last >= index.nextBatchSequence) return false
        lastArchivedSequence = last
        return true
    }

    /** Returns a head that appends a batch of [records] and retires batches before [lowWater]. */
    fun compose(
        records: List<ClaimRecord>,
        writeId: String,
        lowWater: Long,
        now: Instant,
    ): ClaimHead {
        val batch = ClaimBatch.newBuilder()
            .setSequence(index.nextBatchSequence)
            .setWriteId(writeId)
            .setWrittenAtMillis(now.toEpochMilliseconds())
            .addAllRecords(records)
        return ClaimHead.newBuilder()
            .setLowWater(maxOf(lowWater, head.value.lowWater))
            .setWindowFirst(maxOf(head.value.windowFirst, lastArchivedSequence + 1))
            .addAllWindow(head.value.windowList.filter { it.sequence > lastArchivedSequence })
            .addWindow(batch)
            .build()
    }

    private fun accept(next: VersionedHead): Boolean {
        newestHead = next
        index.retireBefore(next.value.lowWater)
        nextArchiveSequence = maxOf(nextArchiveSequence, next.value.lowWater)
        return advance()
    }

    private fun advance(): Boolean {
        val next = newestHead ?: return false
        if (index.nextBatchSequence < next.value.windowFirst) return false
        next.value.windowList.forEach { index.fold(it) }
        head = next
        newestHead = null
        nextArchiveSequence = next.value.windowFirst
        return true
    }

    private fun StoredObject.size(): Int = value.length
}
