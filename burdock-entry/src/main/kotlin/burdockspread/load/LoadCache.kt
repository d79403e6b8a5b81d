/** Latest known load of each target. */
package burdockspread.load

import burdockspread.id.TargetId
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Instant

/** Load of a target at one point in time. */
internal data class TargetLoad(val running: Int, val waiting: Int, val at: Instant)

/** Thread-safe cache of the latest load of each target. */
internal class LoadCache {
    private val loads = ConcurrentHashMap<TargetId, TargetLoad>()

    /** Stores [load] unless a newer one is already stored. */
    fun put(target: TargetId, load: TargetLoad) {
        loads.merge(target, load) { old, new -> if (new.at > old.at) new else old }
    }

    /** Returns the load of [target] unless it is older than [since]. */
    fun get(target: TargetId, since: Instant): TargetLoad? =
        loads[target]?.takeIf { it.at >= since }

    /** Removes all targets except [targets]. */
    fun retain(targets: Set<TargetId>) {
        loads.keys.retainAll(targets)
    }
}
