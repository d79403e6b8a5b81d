/** Measurements of one fleet in virtual time. */
package burdockspread.bench.spread

import burdockspread.id.HostId
import burdockspread.spread.EntryKey
import burdockspread.spread.GossipCore
import burdockspread.spread.GossipSettings
import kotlinx.collections.immutable.toImmutableList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** Gossip strategies under comparison. */
internal enum class Strategy(val title: String, val coreFactory: CoreFactory) {
    CHOSEN(
        "rumours and hash trees",
        { self, seeds, seed ->
            GossipCore.factory.create(GossipSettings(self, seeds.toImmutableList(), seed))
        },
    ),
    FULL_PUSH("full push", { self, _, _ -> FullPushCore(self) }),
    FULL_DIGEST("full-digest gossip", { self, _, seed -> FullDigestCore(self, seed) }),
}

/**
 * Propagation times of edits to the last host; [missed] counts edits that missed some host.
 *
 * @property bytesPerSecond mean bytes per second that a host sent and received.
 */
internal data class EditTimes(
    val times: List<Duration>,
    val missed: Int,
    val bytesPerSecond: Double,
) {
    val median: Duration? get() = times.sorted().getOrNull(times.size / 2)
    val longest: Duration? get() = times.maxOrNull()
}

/** Network traffic of the hosts in bytes per second, sent and received. */
internal data class Traffic(
    val mean: Double,
    val highest: Double,
    val largestMessage: Int,
    val processorShare: Double,
)

/** Measures fleets whose hosts start with the full state. */
internal class SpreadTrial(private val hosts: Int, private val seed: Int) {
    /**
     * Measures the propagation of [edits] edits, each published at one host, while the hosts of
     * [Strategy.CHOSEN] also publish load reports.
     */
    fun measureEdits(strategy: Strategy, edits: Int, loss: Double = 0.0): EditTimes {
        val workload = Workload(Fleet(hosts), seed)
        val run = start(strategy, workload, loss)
        if (strategy == Strategy.CHOSEN) workload.publishLoad(run)
        run.run(WARM_UP)
        val pendingEdits = HashMap<EntryKey, Pending>()
        val times = ArrayList<Duration>()
        run.onApplied = { host, entry ->
            val pending = pendingEdits[entry.key]?.takeIf { it.version == entry.version }
            if (pending != null && pending.hosts.remove(host) && pending.hosts.isEmpty()) {
                times += run.now - pending.at
            }
        }
        repeat(edits) { i ->
            val edit = workload.randomEdit()
            val origin = run.fleet.peers[(i * ORIGIN_STRIDE) % hosts].host
            val others = run.fleet.peers.mapTo(HashSet()) { it.host } - origin
            pendingEdits[edit.key] = Pending(edit.version, run.now, others.toHashSet())
            run.put(origin, edit)
            run.run(EDIT_GAP)
        }
        run.run(SETTLE_TIME)
        val seconds = run.elapsed.toDouble(DurationUnit.SECONDS)
        val bytes = run.bytes.values.sum() / seconds / hosts
        return EditTimes(times, edits - times.size, bytes)
    }

    /** Measures the traffic of an idle fleet or, if [busy], of one with a normal day's load. */
    fun measureTraffic(strategy: Strategy, span: Duration, busy: Boolean): Traffic {
        val fleet = Fleet(hosts)
        val workload = Workload(fleet, seed)
        val run = start(strategy, workload, 0.0)
        if (busy) {
            workload.publishLoad(run)
            workload.publishEdits(run, Workload.EDITS_PER_DAY)
            workload.replaceHosts(run, Workload.REPLACEMENTS_PER_DAY)
        }
        run.run(if (strategy == Strategy.CHOSEN) WARM_UP else BASELINE_WARM_UP)
        run.bytes.clear()
        val startNanos = System.nanoTime()
        run.run(span)
        val elapsedSeconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND
        val seconds = span.toDouble(DurationUnit.SECONDS)
        val rates = fleet.peers.map { (run.bytes[it.host] ?: 0) / seconds }
        return Traffic(
            rates.average(),
            rates.max(),
            run.largestMessage,
            elapsedSeconds / seconds / hosts,
        )
    }

    /**
     * Measures the time from the end of a network partition of one failure domain to convergence.
     * Both sides publish edits during the partition.
     */
    fun measureHealing(partitionDuration: Duration): Duration {
        val workload = Workload(Fleet(hosts), seed)
        val run = start(Strategy.CHOSEN, workload, 0.0)
        run.run(WARM_UP)
        run.partitioned += run.fleet.peers.first().domain
        val outside = run.fleet.peers.last { it.domain !in run.partitioned }.host
        val end = run.elapsed + partitionDuration
        while (run.elapsed < end) {
            run.put(run.fleet.peers.first().host, workload.randomEdit())
            run.put(outside, workload.randomEdit())
            run.run(EDIT_GAP)
        }
        run.partitioned.clear()
        val healedAt = run.elapsed
        while (!run.hasConverged() && run.elapsed - healedAt < HEALING_TIMEOUT) run.run(POLL_PERIOD)
        return run.elapsed - healedAt
    }

    private class Pending(val version: Long, val at: Instant, val hosts: HashSet<HostId>)

    private fun start(strategy: Strategy, workload: Workload, loss: Double): VirtualFleet {
        val initialEntries = workload.initialEntries()
        val run = VirtualFleet(Fleet(hosts), strategy.coreFactory, seed, loss)
        run.cores.values.forEach { it.preload(initialEntries, run.now) }
        return run
    }

    companion object {
        const val SEED = 20_261
        private val WARM_UP = 10.seconds
        private val BASELINE_WARM_UP = 3.seconds
        private val EDIT_GAP = 2160.milliseconds
        private val HEALING_TIMEOUT = 120.seconds
        private val POLL_PERIOD = 250.milliseconds
        private val SETTLE_TIME = 15.seconds
        private const val ORIGIN_STRIDE = 37
        private const val NANOS_PER_SECOND = 1e9
    }
}
