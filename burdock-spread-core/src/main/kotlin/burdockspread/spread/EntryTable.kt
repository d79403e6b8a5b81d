/** Table of the entries on one host, with a hash tree for each kind. */
package burdockspread.spread

import com.google.common.hash.HashFunction
import com.google.common.hash.Hashing
import kotlin.time.Instant

/** Stores the highest version of each entry. */
internal class EntryTable {
    private class StoredEntry(val entry: Entry, val storedAt: Instant)

    private class KindTable {
        val tree = HashTree()
        val buckets = Array(HashTree.BUCKETS) { HashMap<String, StoredEntry>(0) }
    }

    private val tombstones = LinkedHashMap<EntryKey, Instant>()
    private val kinds = Array(EntryKind.entries.size) { KindTable() }

    var size: Int = 0
        private set

    fun get(key: EntryKey): Entry? = bucket(key.kind, bucketOf(key))[key.name]?.entry

    fun version(key: EntryKey): Long = get(key)?.version ?: Long.MIN_VALUE

    /** Stores [entry] if its version is higher than the stored one; returns whether it was. */
    fun put(entry: Entry, now: Instant): Boolean {
        val index = bucketOf(entry.key)
        val previous = bucket(entry.key.kind, index)[entry.key.name]?.entry
        if (previous != null && previous.version >= entry.version) return false
        store(index, entry, previous, now)
        return true
    }

    /**
     * Retires soft-state entries stored before [softStateBefore], and removes tombstones stored
     * before [tombstonesBefore].
     */
    fun expire(softStateBefore: Instant, tombstonesBefore: Instant, now: Instant) {
        EntryKind.entries
            .filterNot { it.usesAntiEntropy }
            .forEach { retire(it, softStateBefore, now) }
        while (tombstones.isNotEmpty()) {
            val (key, storedAt) = tombstones.entries.first()
            if (storedAt >= tombstonesBefore) break
            tombstones.remove(key)
            bucket(key.kind, bucketOf(key)).remove(key.name)
            size--
        }
    }

    fun entries(node: TreeNode): List<Entry> =
        HashTree.buckets(node.depth, node.index).flatMap { index ->
            kinds[node.kind.ordinal].buckets[index].values
                .map { it.entry }
                .filterNot { it.retired }
        }

    fun hash(node: TreeNode): Long = tree(node.kind).hash(node.depth, node.index)

    fun count(node: TreeNode): Int = tree(node.kind).count(node.depth, node.index)

    private fun retire(kind: EntryKind, before: Instant, now: Instant) {
        kinds[kind.ordinal].buckets.forEachIndexed { index, bucket ->
            val expired = bucket.values.filter { !it.entry.retired && it.storedAt < before }
            for (stored in expired) {
                val entry = stored.entry.copy(value = EntryBytes.EMPTY, retired = true)
                store(index, entry, stored.entry, now)
            }
        }
    }

    /**
     * Stores [entry] in place of [previous]. Tombstones are not part of the hashes, so that each
     * host may remove them at a different time.
     */
    private fun store(index: Int, entry: Entry, previous: Entry?, now: Instant) {
        val tree = tree(entry.key.kind)
        if (previous != null && !previous.retired) tree.remove(index, entryHash(previous))
        if (!entry.retired) tree.add(index, entryHash(entry))
        if (previous == null) size++
        bucket(entry.key.kind, index)[entry.key.name] = StoredEntry(entry, now)
        tombstones.remove(entry.key)
        if (entry.retired) tombstones[entry.key] = now
    }

    private fun tree(kind: EntryKind): HashTree = kinds[kind.ordinal].tree

    private fun bucket(kind: EntryKind, index: Int) = kinds[kind.ordinal].buckets[index]

    private fun bucketOf(key: EntryKey): Int =
        Math.floorMod(hashing.hashUnencodedChars(key.name).asLong(), HashTree.BUCKETS)

    private fun entryHash(entry: Entry): Long = hashing
        .newHasher()
        .putUnencodedChars(entry.key.name)
        .putLong(entry.version)
        .hash()
        .asLong()

    private companion object {
        val hashing: HashFunction = Hashing.farmHashFingerprint64()
    }
}
