/** Journal of recently changed targets. */
package burdockspread.forward.directory

import burdockspread.id.TargetId

/**
 * Numbers the changes of a directory, so that a following peer receives only what changed since its
 * last request. Not thread-safe.
 *
 * @param id distinguishes journals; each process starts a new one.
 * @param capacity number of changes that are kept; a peer that is further behind receives
 * everything.
 */
public class ChangeJournal(public val id: Long, private val capacity: Int = DEFAULT_CAPACITY) {
    private val changed = ArrayDeque<TargetId>()

    /** Number of changes so far. */
    public var position: Long = 0
        private set

    public fun record(target: TargetId) {
        position++
        changed.addLast(target)
        if (changed.size > capacity) changed.removeFirst()
    }

    /** Returns the targets changed after [position] of the journal [id], or null if unknown. */
    public fun changedSince(id: Long, position: Long): Set<TargetId>? {
        val missed = this.position - position
        if (id != this.id || missed !in 0..changed.size) return null
        return changed.takeLast(missed.toInt()).toSet()
    }

    private companion object {
        /** Covers about ten seconds in which every target of a service is replaced. */
        const val DEFAULT_CAPACITY = 2_048
    }
}
