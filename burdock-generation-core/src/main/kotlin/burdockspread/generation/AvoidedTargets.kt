/** Targets that new attempts of one generation avoid. */
package burdockspread.generation

import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.toPersistentSet

/**
 * The most recently failed or draining targets. Older ones are dropped, since they may have
 * recovered.
 */
internal class AvoidedTargets {
    private val targets = ArrayDeque<TargetId>()

    fun add(target: TargetId?) {
        if (target == null || target in targets) return
        targets.addLast(target)
        if (targets.size > MAX_TARGETS) targets.removeFirst()
    }

    fun snapshot(): ImmutableSet<TargetId> = targets.toPersistentSet()

    private companion object {
        const val MAX_TARGETS = 8
    }
}
