/** The entries that one host holds, with a hash tree for each kind. */
package burdockspread.spread

import com.google.common.hash.Hashing
import kotlin.time.Instant

/** Keeps the highest version of each entry. */
internal class EntryTable {
    private class Held(val entry: Entry, val since: Instant)

    private class KindTable {
        val tree = HashTree()
        val buckets = Array(HashTree.BUCKETS) { HashMap<String, Held>(0) }
    }

    private val kinds = Array(EntryKind.entries.size) { KindTable() }

    var size: Int = 0
        private set

    fun get(key: EntryKey): Entry? = bucket(key)[key.name]?.entry

    fun version(key: EntryKey): Long = get(key)?.version ?: Long.MIN_VALUE

    /** Keeps [entry] if its version is higher than the one held, and tells whether it was. */
    fun put(entry: Entry, now: Instant): Boolean {
        val old = get(entry.key)
        if (old != null && old.version >= entry.version) return false
        store(entry, old, now)
        return true
    }

    /** Retires the unrepaired entries and forgets the retired ones that are older than allowed. */
    fun expire(unrepairedBefore: Instant, retiredBefore: Instant, now: Instant) {
        for (kind in EntryKind.entries) {
            for (bucket in kinds[kind.ordinal].buckets) {
                expireBucket(kind, bucket, unrepairedBefore, retiredBefore, now)
            }
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

    /** Whether the entry of [key] lies below [node]. */
    fun isBelow(key: EntryKey, node: TreeNode): Boolean =
        key.kind == node.kind && bucketOf(key) in HashTree.buckets(node.depth, node.index)

    private fun expireBucket(
        kind: EntryKind,
        bucket: HashMap<String, Held>,
        unrepairedBefore: Instant,
        retiredBefore: Instant,
        now: Instant,
    ) {
        for (held in bucket.values.toList()) {
            val entry = held.entry
            val silent = !kind.repaired && held.since < unrepairedBefore
            when {
                !entry.retired && silent ->
                    store(entry.copy(value = EntryBytes.EMPTY, retired = true), entry, now)
                entry.retired && held.since < retiredBefore -> {
                    bucket.remove(entry.key.name)
                    size--
                }
            }
        }
    }

    /** Retired entries stay out of the hashes, so that hosts may forget them at any time. */
    private fun store(entry: Entry, old: Entry?, now: Instant) {
        val bucket = bucketOf(entry.key)
        val tree = tree(entry.key.kind)
        if (old != null && !old.retired) tree.remove(bucket, entryHash(old))
        if (!entry.retired) tree.add(bucket, entryHash(entry))
        if (old == null) size++
        bucket(entry.key)[entry.key.name] = Held(entry, now)
    }

    private fun tree(kind: EntryKind): HashTree = kinds[kind.ordinal].tree

    private fun bucket(key: EntryKey) = kinds[key.kind.ordinal].buckets[bucketOf(key)]

    private fun bucketOf(key: EntryKey): Int = Math.floorMod(nameHash(key.name), HashTree.BUCKETS)

    private fun nameHash(name: String): Long =
        Hashing.farmHashFingerprint64().hashString(name, Charsets.UTF_8).asLong()

    private fun entryHash(entry: Entry): Long = Hashing.farmHashFingerprint64()
        .newHasher()
        .putString(entry.key.name, Charsets.UTF_8)
        .putLong(entry.version)
        .hash()
        .asLong()
}
