/** One measured run of a fleet. */
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

/** Ways to spread that are compared. */
internal enum class Way(val title: String, val maker: CoreMaker) {
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
 * Times until the last host had each edit; edits that some host never got are [missed].
 *
 * @property bytesPerSecond mean of the bytes that a host sent and received.
 */
internal data class EditTimes(
    val times: List<Duration>,
    val missed: Int,
    val bytesPerSecond: Double,
) {
    val median: Duration? get() = times.sorted().getOrNull(times.size / 2)
    val longest: Duration? get() = times.maxOrNull()
}

/** Bytes per second, sent and received, over all hosts of a run. */
internal data class Traffic(
    val mean: Double,
    val highest: Double,
    val largestMessage: Int,
    val processorShare: Double,
)

/** Builds fleets that already hold the whole state, and measures them. */
internal class SpreadTrial(private val hosts: Int, private val seed: Int) {
    /** Times of [edits] edits, each put at one host, beside the ordinary load reports. */
    fun editTimes(way: Way, edits: Int, loss: Double = 0.0): EditTimes {
        val workload = Workload(Fleet(hosts), seed)
        val run = start(way, workload, loss)
        if (way == Way.CHOSEN) workload.publishLoad(run)
        run.run(WARM_UP)
        val waiting = HashMap<EntryKey, Pending>()
        val times = ArrayList<Duration>()
        run.onApplied = { host, entry ->
            val pending = waiting[entry.key]?.takeIf { it.version == entry.version }
            if (pending != null && pending.hosts.remove(host) && pending.hosts.isEmpty()) {
                times += run.now - pending.at
            }
        }
        repeat(edits) { i ->
            val edit = workload.edit()
            val origin = run.fleet.peers[(i * ORIGIN_STRIDE) % hosts].host
            val others = run.fleet.peers.mapTo(HashSet()) { it.host } - origin
            waiting[edit.key] = Pending(edit.version, run.now, others.toHashSet())
            run.put(origin, edit)
            run.run(EDIT_GAP)
        }
        run.run(DRAIN)
        val seconds = run.elapsed.toDouble(DurationUnit.SECONDS)
        val bytes = run.bytes.values.sum() / seconds / hosts
        return EditTimes(times, edits - times.size, bytes)
    }

    /** Bytes per second of a fleet at rest, or with everything of an ordinary day. */
    fun traffic(way: Way, span: Duration, busy: Boolean): Traffic {
        val fleet = Fleet(hosts)
        val workload = Workload(fleet, seed)
        val run = start(way, workload, 0.0)
        if (busy) {
            workload.publishLoad(run)
            workload.publishEdits(run, Workload.EDITS_PER_DAY)
            workload.replaceHosts(run, Workload.REPLACEMENTS_PER_DAY)
        }
        run.run(if (way == Way.CHOSEN) WARM_UP else BASELINE_WARM_UP)
        run.bytes.clear()
        val began = System.nanoTime()
        run.run(span)
        val spent = (System.nanoTime() - began) / NANOS_PER_SECOND
        val seconds = span.toDouble(DurationUnit.SECONDS)
        val rates = fleet.peers.map { (run.bytes[it.host] ?: 0) / seconds }
        return Traffic(
            rates.average(),
            rates.max(),
            run.largestMessage,
            spent / seconds / hosts,
        )
    }

    /** Time from the end of a cut until both sides hold the same, with edits on both meanwhile. */
    fun healing(cutFor: Duration): Duration {
        val workload = Workload(Fleet(hosts), seed)
        val run = start(Way.CHOSEN, workload, 0.0)
        run.run(WARM_UP)
        run.cut += run.fleet.peers.first().domain
        val outside = run.fleet.peers.last { it.domain !in run.cut }.host
        val end = run.elapsed + cutFor
        while (run.elapsed < end) {
            run.put(run.fleet.peers.first().host, workload.edit())
            run.put(outside, workload.edit())
            run.run(EDIT_GAP)
        }
        run.cut.clear()
        val healed = run.elapsed
        while (!run.agrees() && run.elapsed - healed < HEALING_LIMIT) run.run(HEALING_STEP)
        return run.elapsed - healed
    }

    private class Pending(val version: Long, val at: Instant, val hosts: HashSet<HostId>)

    private fun start(way: Way, workload: Workload, loss: Double): VirtualFleet {
        val base = workload.base()
        val run = VirtualFleet(Fleet(hosts), way.maker, seed, loss)
        run.cores.values.forEach { it.preload(base, run.now) }
        return run
    }

    companion object {
        const val SEED = 20_261
        private val WARM_UP = 10.seconds
        private val BASELINE_WARM_UP = 3.seconds
        private val EDIT_GAP = 2160.milliseconds
        private val HEALING_LIMIT = 120.seconds
        private val HEALING_STEP = 250.milliseconds
        private val DRAIN = 15.seconds
        private const val ORIGIN_STRIDE = 37
        private const val NANOS_PER_SECOND = 1e9
    }
}
