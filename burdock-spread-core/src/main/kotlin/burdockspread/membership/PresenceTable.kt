/** The highest presence received for each host or target. */
package burdockspread.membership

import kotlin.time.Instant

/** Table of presences, which only move to higher ones. */
internal class PresenceTable<I : Any> {
    private class Record(val presence: Presence, val since: Instant)

    private val records = HashMap<I, Record>()
    private val listedLeaving = HashSet<I>()

    fun get(id: I): Presence? = records[id]?.presence

    /** Returns when the current presence of [id] was stored here. */
    fun since(id: I): Instant = records[id]?.since ?: Instant.DISTANT_FUTURE

    fun suspects(): List<I> =
        records.filterValues { it.presence.suspicion == Suspicion.SUSPECT }.keys.toList()

    /** Stores [presence] if it is higher than the stored one, and returns whether it was. */
    fun put(id: I, presence: Presence, now: Instant): Boolean {
        val previous = records[id]
        if (previous != null && previous.presence >= presence) return false
        records[id] = Record(presence, now)
        return true
    }

    /**
     * Removes and returns those that have been dead since before [cutoff]. Older versions cannot
     * return, because gossip rejects them.
     */
    fun removeDead(cutoff: Instant): Set<I> {
        val removed = records
            .filterValues { it.presence.state == MemberState.DEAD && it.since < cutoff }
            .keys
        removed.forEach { records.remove(it) }
        listedLeaving.removeAll(removed)
        return removed
    }

    /**
     * Returns the presence that follows from a row of the platform's list, or null if none does. A
     * row without an incarnation counts only when it changes to leaving: the list lags, and an
     * unchanged row may refer to a process that has been replaced.
     */
    fun onPlatform(report: PlatformReport<I>): Presence? {
        if (report.state == PlatformState.LIVE) {
            listedLeaving.remove(report.id)
            return newIncarnation(report)
        }
        val isNew = listedLeaving.add(report.id)
        val current = get(report.id) ?: return null
        val matches = report.incarnation?.let { it == current.incarnation } ?: isNew
        return if (matches) current.copy(leaving = true) else null
    }

    private fun newIncarnation(report: PlatformReport<I>): Presence? {
        val current = get(report.id) ?: return null
        val listed = report.incarnation ?: return null
        return if (listed > current.incarnation) Presence(listed) else null
    }
}
