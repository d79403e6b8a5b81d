/** The last load that is known of each target. */
package burdockspread.load

import burdockspread.id.TargetId
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Instant

/** Load of one target at one time. */
internal data class TargetLoad(val running: Int, val waiting: Int, val at: Instant)

/** Keeps the newest load of each target. Safe for several threads. */
internal class LoadBoard {
    private val loads = ConcurrentHashMap<TargetId, TargetLoad>()

    /** Takes [load] if it is newer than the one held. */
    fun put(target: TargetId, load: TargetLoad) {
        loads.merge(target, load) { old, new -> if (new.at > old.at) new else old }
    }

    /** The load of [target] unless it is older than [since]. */
    fun get(target: TargetId, since: Instant): TargetLoad? =
        loads[target]?.takeIf { it.at >= since }

    /** Forgets all targets but [targets]. */
    fun retain(targets: Set<TargetId>) {
        loads.keys.retainAll(targets)
    }
}
