/** Heap that the state of one host's spread takes. */
package burdockspread.bench.spread

import burdockspread.id.HostId
import burdockspread.spread.Entry
import burdockspread.spread.EntryBytes
import burdockspread.spread.GossipCore
import kotlinx.collections.immutable.toImmutableList
import kotlin.time.Instant

/** Measures the used heap before and after several cores with copies of all entries. */
internal object StateSize {
    private const val CORES = 10
    private const val COLLECTIONS = 4

    fun perHost(hosts: Int): Long {
        val fleet = Fleet(hosts)
        val base = Workload(fleet, SpreadTrial.SEED).base()
        val before = usedHeap()
        val cores = List(CORES) { index ->
            val core = Way.CHOSEN.maker.make(fleet.peers[index], emptyList(), 1L)
            core.onPeers(fleet.peers.toImmutableList())
            core.preload(base.map { copy(it) }.toImmutableList(), Instant.fromEpochSeconds(0))
            core
        }
        val used = (usedHeap() - before) / CORES
        check(cores.all { it.holds(HostId(fleet.peers[0].host.value)) })
        return used
    }

    private fun GossipCore.holds(host: HostId) = stats().entries > 0 && host.value.isNotEmpty()

    private fun copy(entry: Entry) = entry.copy(
        key = entry.key.copy(name = String(entry.key.name.toCharArray())),
        value = EntryBytes.of(entry.value.toByteArray()),
    )

    private fun usedHeap(): Long {
        repeat(COLLECTIONS) { System.gc() }
        val runtime = Runtime.getRuntime()
        return runtime.totalMemory() - runtime.freeMemory()
    }
}
