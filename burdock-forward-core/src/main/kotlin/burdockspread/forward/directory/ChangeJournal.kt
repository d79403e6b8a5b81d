/** Journal of recently changed targets. */
package burdockspread.forward.directory

import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableMap

/**
 * Remembers at which store versions targets changed, so that a peer receives only what it lacks.
 * Not thread-safe.
 *
 * A list skips versions: a target that was added and removed in between never appears in it, nor in
 * what a peer tells that has listed. A reader whose version lies within such a gap may know that
 * target, so it needs the whole list.
 *
 * @param capacity number of changes that are kept; a peer that is further behind receives
 * everything.
 */
public class ChangeJournal(private val capacity: Int = DEFAULT_CAPACITY) {
    private val changes = ArrayDeque<Change>()

    /** The versions within the gaps, oldest first. */
    private val gaps = ArrayDeque<LongRange>()

    /** Version from which on all changes are known, or null before the first list. */
    private var start: Long? = null

    /** Highest version of a change, so that a current reader costs no search. */
    private var latest = 0L

    /** Records that [target] was put or removed at [version]. */
    public fun record(target: TargetId, version: Long) {
        changes.addLast(Change(target, version))
        latest = maxOf(latest, version)
        if (changes.size > capacity) startAt(changes.removeFirst().version)
    }

    /** Records that a list or a peer's changes led from the state as of [before] to [version]. */
    public fun onSkipped(before: Long, version: Long) {
        if (start == null) start = version
        val gap = before + 1 until version
        if (gap.isEmpty()) return
        gaps.addLast(gap)
        if (gaps.size > MAX_GAPS) startAt(gaps.removeFirst().last + 1)
    }

    /** Records that earlier readers lack targets that [version] has and that did not change. */
    public fun onCompleted(version: Long): Unit = startAt(version)

    /**
     * Returns the targets that changed after [version] with the version of their last change, or
     * null if not all of them are known.
     */
    public fun changedSince(version: Long): ImmutableMap<TargetId, Long>? {
        val first = start ?: return null
        if (version < first || gaps.any { version in it }) return null
        if (version >= latest) return persistentMapOf()
        return changes.filter { it.version > version }
            .groupBy({ it.target }, { it.version })
            .mapValues { (_, versions) -> versions.max() }
            .toImmutableMap()
    }

    private fun startAt(version: Long) {
        start = maxOf(start ?: version, version)
    }

    private class Change(val target: TargetId, val version: Long)

    private companion object {
        /** Covers about ten seconds in which every target of a service is replaced. */
        const val DEFAULT_CAPACITY = 2_048

        /** Most gaps lie between versions that no reader has; each costs a comparison a reply. */
        const val MAX_GAPS = 64
    }
}
