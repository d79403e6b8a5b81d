/** Entries that a host has asked a peer for and not got yet. */
package burdockspread.spread

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlin.time.Duration
import kotlin.time.Instant

/** Keeps a host from asking two peers for one entry within [timeout]. */
internal class WantedEntries(private val timeout: Duration) {
    private val askedAt = HashMap<EntryKey, Instant>()

    /** Those of [keys] to ask for now. */
    fun claim(keys: List<EntryKey>, now: Instant): ImmutableList<EntryKey> {
        val due = keys.distinct().filter { isDue(it, now) }
        due.forEach { askedAt[it] = now }
        return due.toImmutableList()
    }

    fun onArrived(key: EntryKey) {
        askedAt.remove(key)
    }

    fun expire(now: Instant) {
        askedAt.values.removeAll { now - it >= timeout }
    }

    private fun isDue(key: EntryKey, now: Instant): Boolean {
        val since = askedAt[key] ?: return true
        return now - since >= timeout
    }
}
