/** Which targets changed last. */
package burdockspread.forward.directory

import burdockspread.id.TargetId

/**
 * Numbers the changes of a directory, so that a peer that follows it gets only what changed since
 * it last asked. Not thread-safe.
 *
 * @param id tells journals apart; each process starts a new one.
 * @param bound changes that are remembered; who is further behind gets everything.
 */
public class ChangeJournal(public val id: Long, private val bound: Int = BOUND) {
    private val changed = ArrayDeque<TargetId>()

    /** Number of changes so far. */
    public var position: Long = 0
        private set

    public fun record(target: TargetId) {
        position++
        changed.addLast(target)
        if (changed.size > bound) changed.removeFirst()
    }

    /** Targets that changed after [position] of the journal [id]; null when that is not known. */
    public fun since(id: Long, position: Long): Set<TargetId>? {
        val missed = this.position - position
        if (id != this.id || missed !in 0..changed.size) return null
        return changed.takeLast(missed.toInt()).toSet()
    }

    private companion object {
        /** Changes of some ten seconds when every target of a service is replaced. */
        const val BOUND = 2_048
    }
}
