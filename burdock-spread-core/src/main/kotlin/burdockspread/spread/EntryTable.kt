/** The entries that one host holds, with a hash tree for each kind. */
package burdockspread.spread

import com.google.common.hash.HashFunction
import com.google.common.hash.Hashing
import kotlin.time.Instant

/** Keeps the highest version of each entry. */
internal class EntryTable {
    private class Held(val entry: Entry, val since: Instant)

    private class KindTable {
        val tree = HashTree()
        val buckets = Array(HashTree.BUCKETS) { HashMap<String, Held>(0) }
    }

    private val retired = LinkedHashMap<EntryKey, Instant>()
    private val kinds = Array(EntryKind.entries.size) { KindTable() }

    var size: Int = 0
        private set

    fun get(key: EntryKey): Entry? = bucket(key.kind, bucketOf(key))[key.name]?.entry

    fun version(key: EntryKey): Long = get(key)?.version ?: Long.MIN_VALUE

    /** Keeps [entry] if its version is higher than the one held, and tells whether it was. */
    fun put(entry: Entry, now: Instant): Boolean {
        val index = bucketOf(entry.key)
        val old = bucket(entry.key.kind, index)[entry.key.name]?.entry
        if (old != null && old.version >= entry.version) return false
        store(index, entry, old, now)
        return true
    }

    /** Retires the unrepaired entries and forgets the retired ones that are older than allowed. */
    fun expire(unrepairedBefore: Instant, retiredBefore: Instant, now: Instant) {
        EntryKind.entries.filterNot { it.repaired }.forEach { retire(it, unrepairedBefore, now) }
        while (retired.isNotEmpty()) {
            val (key, since) = retired.entries.first()
            if (since >= retiredBefore) break
            retired.remove(key)
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
            val silent = bucket.values.filter { !it.entry.retired && it.since < before }
            for (held in silent) {
                val entry = held.entry.copy(value = EntryBytes.EMPTY, retired = true)
                store(index, entry, held.entry, now)
            }
        }
    }

    /** Retired entries stay out of the hashes, so that hosts may forget them at any time. */
    private fun store(index: Int, entry: Entry, old: Entry?, now: Instant) {
        val tree = tree(entry.key.kind)
        if (old != null && !old.retired) tree.remove(index, entryHash(old))
        if (!entry.retired) tree.add(index, entryHash(entry))
        if (old == null) size++
        bucket(entry.key.kind, index)[entry.key.name] = Held(entry, now)
        retired.remove(entry.key)
        if (entry.retired) retired[entry.key] = now
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
