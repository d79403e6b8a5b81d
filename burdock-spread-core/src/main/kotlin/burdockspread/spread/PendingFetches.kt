/** Entries that a host has requested from a peer and not yet received. */
package burdockspread.spread

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlin.time.Duration
import kotlin.time.Instant

/** Prevents a host from requesting the same entry from two peers within [timeout]. */
internal class PendingFetches(private val timeout: Duration) {
    private val requestedAt = HashMap<EntryKey, Instant>()

    /** Returns those of [keys] that are to be requested now, and marks them as pending. */
    fun startDue(keys: List<EntryKey>, now: Instant): ImmutableList<EntryKey> {
        val due = keys.distinct().filter { isDue(it, now) }
        due.forEach { requestedAt[it] = now }
        return due.toImmutableList()
    }

    fun onReceived(key: EntryKey) {
        requestedAt.remove(key)
    }

    fun expire(now: Instant) {
        requestedAt.values.removeAll { now - it >= timeout }
    }

    private fun isDue(key: EntryKey, now: Instant): Boolean {
        val lastRequest = requestedAt[key] ?: return true
        return now - lastRequest >= timeout
    }
}
