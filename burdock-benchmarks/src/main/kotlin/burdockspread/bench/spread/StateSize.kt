/** Heap size of the gossip state of one host. */
package burdockspread.bench.spread

import burdockspread.id.HostId
import burdockspread.spread.Entry
import burdockspread.spread.EntryBytes
import burdockspread.spread.GossipCore
import kotlinx.collections.immutable.toImmutableList
import kotlin.time.Instant

/** Measures the heap that several gossip cores use, each with its own copy of all entries. */
internal object StateSize {
    private const val CORES = 10
    private const val GC_RUNS = 4

    fun perHost(hosts: Int): Long {
        val fleet = Fleet(hosts)
        val initial = Workload(fleet, SpreadTrial.SEED).initialEntries()
        val before = usedHeapBytes()
        val cores = List(CORES) { index ->
            val core = Strategy.CHOSEN.coreFactory.create(fleet.peers[index], emptyList(), 1L)
            core.onPeers(fleet.peers.toImmutableList())
            core.preload(
                initial.map { deepCopy(it) }.toImmutableList(),
                Instant.fromEpochSeconds(0),
            )
            core
        }
        val heapPerCore = (usedHeapBytes() - before) / CORES
        check(cores.all { it.holds(HostId(fleet.peers[0].host.value)) })
        return heapPerCore
    }

    private fun GossipCore.holds(host: HostId) = stats().entries > 0 && host.value.isNotEmpty()

    private fun deepCopy(entry: Entry) = entry.copy(
        key = entry.key.copy(name = String(entry.key.name.toCharArray())),
        value = EntryBytes.of(entry.value.toByteArray()),
    )

    private fun usedHeapBytes(): Long {
        repeat(GC_RUNS) { System.gc() }
        val runtime = Runtime.getRuntime()
        return runtime.totalMemory() - runtime.freeMemory()
    }
}
