/** Selects the hosts that watch the store. */
package burdockspread.store

import burdockspread.id.HostId
import java.util.zip.CRC32C
import kotlin.time.Duration

/**
 * Selects a few live hosts of each failure domain by rendezvous hashing.
 *
 * Hosts that disagree on which hosts are live cause only more or fewer watches: sections are
 * versioned, so it is harmless when several hosts relay the same ones.
 */
public object RelaySelector {
    /** Hosts of a failure domain that watch the store, so that the loss of one has no effect. */
    public const val RELAYS_PER_DOMAIN: Int = 2

    /** Whether [self] watches the store, given the [live] hosts of its failure domain. */
    public fun isRelay(self: HostId, live: Collection<HostId>): Boolean =
        self in ranked(live + self).take(RELAYS_PER_DOMAIN)

    /** Returns the hosts of one failure domain in the order in which they become relays. */
    public fun ranked(hosts: Collection<HostId>): List<HostId> =
        hosts.distinct().sortedWith(compareBy({ hash(it.value) }, { it.value }))

    /**
     * Returns a delay below [window] that differs between hosts and attempts but is deterministic.
     */
    public fun jitter(self: HostId, attempt: Int, window: Duration): Duration =
        window * (hash("${self.value}#$attempt").toDouble() / HASH_RANGE)

    private fun hash(text: String): Long {
        val crc = CRC32C()
        crc.update(text.encodeToByteArray())
        return crc.value
    }

    private const val HASH_RANGE = 4_294_967_296.0
}
