/** The log of one shard as this process knows it: the head, its window and the archives. */
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
 * Follows the head of a shard and composes the next one.
 *
 * The conditional update of the head is the only thing that safety rests on: a head composed from
 * an old version never gets in, so a batch always stands on every batch before it.
 */
internal class ShardLog(private val shard: Int, private val settings: ClaimSettings) {
    val index = ShardIndex()
    val headKey: ObjectKey = ClaimCodec.headKey(shard)
    private var head = VersionedHead(0, ClaimHead.getDefaultInstance(), 0)
    private var target: VersionedHead? = null
    private var archiveFirst = 0L
    private var archivedLast = -1L

    private class VersionedHead(val version: Long, val value: ClaimHead, val bytes: Int)

    /** The archive to read before the newest known head can be applied, or null. */
    val missingArchive: ObjectKey?
        get() = target?.let { ClaimCodec.archiveKey(shard, archiveFirst) }

    val lowWater: Long get() = head.value.lowWater
    val oldestArchive: ObjectKey? get() =
        ClaimCodec.archiveKey(shard, lowWater).takeIf { lowWater < head.value.windowFirst }

    /** Whether the window has reached its bound and has not been archived yet. */
    val windowFull: Boolean
        get() = archivedLast < head.value.windowFirst &&
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

    /** Takes a head that was read. Returns whether it is newer and applied as a whole. */
    fun onHead(read: StoredObject): Boolean {
        if (read.version <= head.version) return false
        return follow(VersionedHead(read.version, ClaimCodec.decodeHead(read.value), read.size()))
    }

    /** Whether [read] shows the version that is known already; null stands for no object. */
    fun isCurrent(read: StoredObject?): Boolean =
        target == null && (read?.version ?: 0L) == head.version

    /** Takes the [missingArchive]. Returns whether the newest known head is now applied. */
    fun onArchive(read: StoredObject): Boolean {
        val archive = ClaimCodec.decodeArchive(read.value)
        archive.batchesList.forEach { index.fold(it) }
        archiveFirst = archive.batchesList.last().sequence + 1
        return advance()
    }

    /** Gives the newest known head up, because an archive on the way to it has been retired. */
    fun dropTarget() {
        target = null
    }

    /** Takes the head that this process wrote under [version]. */
    fun onWritten(version: Long, value: ClaimHead, bytes: Int) {
        check(follow(VersionedHead(version, value, bytes))) { "an own head leaves a gap" }
    }

    fun archiveKey(): ObjectKey = ClaimCodec.archiveKey(shard, head.value.windowFirst)

    fun archiveOfWindow(): ClaimArchive =
        ClaimArchive.newBuilder().addAllBatches(head.value.windowList).build()

    /** Takes the content of the archive at [archiveKey]. False when this head is an old one. */
    fun onArchived(archive: ClaimArchive): Boolean {
        val last = archive.batchesList.last().sequence
        if (last >= index.next) return false
        archivedLast = last
        return true
    }

    /** The head that appends one batch of [records] and retires what is before [lowWater]. */
    fun compose(
        records: List<ClaimRecord>,
        writeId: String,
        lowWater: Long,
        now: Instant,
    ): ClaimHead {
        val batch = ClaimBatch.newBuilder()
            .setSequence(index.next)
            .setWriteId(writeId)
            .setWrittenAtMillis(now.toEpochMilliseconds())
            .addAllRecords(records)
        return ClaimHead.newBuilder()
            .setLowWater(maxOf(lowWater, head.value.lowWater))
            .setWindowFirst(maxOf(head.value.windowFirst, archivedLast + 1))
            .addAllWindow(head.value.windowList.filter { it.sequence > archivedLast })
            .addWindow(batch)
            .build()
    }

    private fun follow(next: VersionedHead): Boolean {
        target = next
        index.retireBefore(next.value.lowWater)
        archiveFirst = maxOf(archiveFirst, next.value.lowWater)
        return advance()
    }

    private fun advance(): Boolean {
        val next = target ?: return false
        if (index.next < next.value.windowFirst) return false
        next.value.windowList.forEach { index.fold(it) }
        head = next
        target = null
        archiveFirst = next.value.windowFirst
        return true
    }

    private fun StoredObject.size(): Int = value.length
}
