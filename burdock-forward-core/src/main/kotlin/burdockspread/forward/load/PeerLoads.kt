/** The load reports that the hosts of one failure domain exchange. */
package burdockspread.forward.load

import burdockspread.id.HostId
import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Sums up the latest reports of the other hosts and decides when this host sends its own.
 *
 * Messages may be lost or reordered: each one carries all loads of its host and an increasing
 * sequence number, and is repeated every [REFRESH_INTERVAL]. A host without a report for [EXPIRY]
 * no longer counts. Not thread-safe and does no I/O.
 */
public class PeerLoads {
    private val reports = HashMap<HostId, PeerReport>()
    private var lastSentLoads: Map<TargetId, HostLoad> = emptyMap()
    private var sentAt: Instant = Instant.DISTANT_PAST
    private var interval: Duration = MIN_INTERVAL

    /** Whether a report has arrived since the last call of [total]. */
    public var changed: Boolean = false
        private set

    /** Records the [loads] of [host]; [sequence] increases with each message of one host. */
    public fun onReport(
        host: HostId,
        sequence: Long,
        loads: Map<TargetId, HostLoad>,
        now: Instant,
    ) {
        val before = reports[host]
        if (before != null && before.sequence >= sequence) return
        reports[host] = PeerReport(sequence, loads, now)
        changed = true
    }

    /** Returns the other hosts' load on each target, or null while no host reports any. */
    public fun total(now: Instant): Map<TargetId, HostLoad>? {
        reports.values.removeIf { now - it.at > EXPIRY }
        changed = false
        if (reports.isEmpty()) return null
        val sum = HashMap<TargetId, HostLoad>()
        reports.values.forEach { host ->
            host.loads.forEach { (target, load) -> sum.merge(target, load, HostLoad::plus) }
        }
        return sum
    }

    /** Returns whether [localLoads] should be sent now. */
    public fun isDue(localLoads: ImmutableMap<TargetId, HostLoad>, now: Instant): Boolean {
        val since = now - sentAt
        return since >= REFRESH_INTERVAL || (since >= interval && localLoads != lastSentLoads)
    }

    /** Records that [localLoads] were sent to [peers] hosts in messages of [bytes] bytes. */
    public fun onSent(
        localLoads: ImmutableMap<TargetId, HostLoad>,
        peers: Int,
        bytes: Int,
        now: Instant,
    ) {
        lastSentLoads = localLoads
        sentAt = now
        val minInterval = (peers * bytes).toDouble() / BYTES_PER_SECOND
        interval = maxOf(MIN_INTERVAL, minInterval.seconds)
    }

    private class PeerReport(
        val sequence: Long,
        val loads: Map<TargetId, HostLoad>,
        val at: Instant,
    )

    public companion object {
        /**
         * Minimum time between two reports of a host. It is short enough for peers to learn of a
         * placement before most of them place their next request.
         */
        public val MIN_INTERVAL: Duration = 100.milliseconds

        /**
         * Time after which unchanged loads are reported again because the last report may have been
         * lost. Short compared with a generation, which takes several seconds.
         */
        public val REFRESH_INTERVAL: Duration = 2.seconds

        /**
         * Age at which the last report of a host no longer counts: with two messages missing, the
         * host has stopped and its requests were cancelled.
         */
        public val EXPIRY: Duration = 5.seconds

        /** Rate limit of reports: a third of the 28 KB/s per host available for control traffic. */
        private const val BYTES_PER_SECOND = 9_000.0
    }
}
