/** The loads that the hosts of one failure domain tell each other. */
package burdockspread.forward.load

import burdockspread.id.HostId
import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Adds up what the other hosts told last, and decides when this host tells its own loads.
 *
 * Messages may be lost or overtake each other: each carries all loads of its host and a number that
 * rises, and is repeated every [REFRESH]. A host that is not heard any more counts for nothing
 * after [EXPIRY]. Not thread-safe, without input or output.
 */
public class PeerLoads {
    private val told = HashMap<HostId, Told>()
    private var lastOwn: Map<TargetId, Int> = emptyMap()
    private var sentAt: Instant = Instant.DISTANT_PAST
    private var gap: Duration = SHORTEST_GAP

    /** Whether something was told since [total] was last asked. */
    public var changed: Boolean = false
        private set

    /** [host] has [loads]; [sequence] rises with each message of one host. */
    public fun onTold(host: HostId, sequence: Long, loads: Map<TargetId, Int>, now: Instant) {
        val before = told[host]
        if (before != null && before.sequence >= sequence) return
        told[host] = Told(sequence, loads, now)
        changed = true
    }

    /** Requests of all other hosts at each target; null while no host tells any. */
    public fun total(now: Instant): Map<TargetId, Int>? {
        told.values.removeIf { now - it.at > EXPIRY }
        changed = false
        if (told.isEmpty()) return null
        val sum = HashMap<TargetId, Int>()
        told.values.forEach { host ->
            host.loads.forEach { (target, runs) -> sum.merge(target, runs, Int::plus) }
        }
        return sum
    }

    /** Whether [own] loads should be told now. */
    public fun isDue(own: ImmutableMap<TargetId, Int>, now: Instant): Boolean {
        val since = now - sentAt
        return since >= REFRESH || (since >= gap && own != lastOwn)
    }

    /** [own] loads were told to [peers] hosts, [bytes] to each. */
    public fun onSent(own: ImmutableMap<TargetId, Int>, peers: Int, bytes: Int, now: Instant) {
        lastOwn = own
        sentAt = now
        val needed = (peers * bytes).toDouble() / BYTES_PER_SECOND
        gap = maxOf(SHORTEST_GAP, needed.seconds)
    }

    private class Told(val sequence: Long, val loads: Map<TargetId, Int>, val at: Instant)

    public companion object {
        /** A placement is known to the others before most of them place their next request. */
        public val SHORTEST_GAP: Duration = 100.milliseconds

        /** Repeats what may have been lost; a run takes some seconds. */
        public val REFRESH: Duration = 2.seconds

        /** A host that was silent for two messages has stopped; its runs were cancelled. */
        public val EXPIRY: Duration = 5.seconds

        /** A third of the 28 KB/s that control may take of a host. */
        private const val BYTES_PER_SECOND = 9_000.0
    }
}
