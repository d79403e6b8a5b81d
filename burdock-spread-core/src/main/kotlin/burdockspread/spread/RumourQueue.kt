/** Entries that a host forwards as rumours. */
package burdockspread.spread

/**
 * Queue of rumours. An entry leaves the queue after [maxSends] sends, or once [maxRedundantSends]
 * receivers already had it.
 */
internal class RumourQueue(private val maxSends: Int, private val maxRedundantSends: Int) {
    private class SendCount(val version: Long, var sends: Int = 0, var known: Int = 0)

    private val counts = LinkedHashMap<EntryKey, SendCount>()

    val size: Int get() = counts.size

    /** Whether any entry is not soft state, so that its origin does not publish it again. */
    val hasUrgentEntries: Boolean get() = counts.keys.any { it.kind.usesAntiEntropy }

    /** Returns the keys in the order of their kinds, which is by importance. */
    fun keys(): List<EntryKey> = counts.keys.sortedBy { it.kind.ordinal }

    fun add(entry: Entry) {
        counts[entry.key] = SendCount(entry.version)
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
        if (count.known >= maxRedundantSends) counts.remove(digest.key)
    }
}
