/** The highest presence seen of each host or target. */
package burdockspread.membership

import kotlin.time.Instant

/** Keeps presences and never lets one go back. */
internal class PresenceView<I : Any> {
    private class Held(val presence: Presence, val since: Instant)

    private val held = HashMap<I, Held>()
    private val listedLeaving = HashSet<I>()

    fun get(id: I): Presence? = held[id]?.presence

    /** When the present presence of [id] was taken up here. */
    fun since(id: I): Instant = held[id]?.since ?: Instant.DISTANT_FUTURE

    fun suspects(): List<I> =
        held.filterValues { it.presence.suspicion == Suspicion.SUSPECT }.keys.toList()

    /** Keeps [presence] if it is higher than the one held, and tells whether it was. */
    fun put(id: I, presence: Presence, now: Instant): Boolean {
        val old = held[id]
        if (old != null && old.presence >= presence) return false
        held[id] = Held(presence, now)
        return true
    }

    /** Forgets and returns what died before [before]. The spread keeps out older versions. */
    fun forgetDead(before: Instant): Set<I> {
        val forgotten = held
            .filterValues { it.presence.state == MemberState.DEAD && it.since < before }
            .keys
        forgotten.forEach { held.remove(it) }
        listedLeaving.removeAll(forgotten)
        return forgotten
    }

    /**
     * The presence that a row of the platform's list calls for, or null for none. A row without an
     * incarnation counts only when it changes to leaving: the list lags, and a row that stays may
     * be about a process that has been replaced.
     */
    fun onPlatform(report: PlatformReport<I>): Presence? {
        if (report.state == PlatformState.LIVE) {
            listedLeaving.remove(report.id)
            return newIncarnation(report)
        }
        val isNew = listedLeaving.add(report.id)
        val present = get(report.id) ?: return null
        val matches = report.incarnation?.let { it == present.incarnation } ?: isNew
        return if (matches) present.copy(leaving = true) else null
    }

    private fun newIncarnation(report: PlatformReport<I>): Presence? {
        val present = get(report.id) ?: return null
        val listed = report.incarnation ?: return null
        return if (listed > present.incarnation) Presence(listed) else null
    }
}
