/** Entries that a host still sends on as rumours. */
package burdockspread.spread

/**
 * Counts sends of each fresh entry. An entry is done after [maxSends] sends or after [maxKnown]
 * receivers had it already.
 */
internal class FreshEntries(private val maxSends: Int, private val maxKnown: Int) {
    private class Count(val version: Long, var sends: Int = 0, var known: Int = 0)

    private val counts = LinkedHashMap<EntryKey, Count>()

    val size: Int get() = counts.size

    /** Whether some entry is of a kind that nobody publishes again. */
    val isUrgent: Boolean get() = counts.keys.any { it.kind.repaired }

    /** The keys, those of the kinds that matter most first. */
    fun keys(): List<EntryKey> = counts.keys.sortedBy { it.kind.ordinal }

    fun add(entry: Entry) {
        counts[entry.key] = Count(entry.version)
    }

    fun onSent(key: EntryKey) {
        val count = counts[key] ?: return
        count.sends++
        if (count.sends >= maxSends) counts.remove(key)
    }

    fun onKnown(digest: EntryDigest) {
        val count = counts[digest.key] ?: return
        if (count.version != digest.version) return
        count.known++
        if (count.known >= maxKnown) counts.remove(digest.key)
    }
}
