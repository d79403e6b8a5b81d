/** Keeps the live counters of targets while snapshots of pools come and go. */
package burdockspread.route

import burdockspread.health.TargetSample
import burdockspread.id.TargetId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.math.abs

/** Live counters by target, and the maker of pool snapshots. */
public class TargetRegistry(private val options: RouteOptions = RouteOptions()) {
    private val targets = ConcurrentHashMap<TargetId, LiveTarget>()
    private val pools = ConcurrentHashMap<PoolKey, PoolLoad>()
    private val nextIndex = AtomicInteger()

    /** Number of targets with counters. */
    public val size: Int get() = targets.size

    /** An immutable snapshot of the pool [key] with [specs]. */
    public fun pool(key: PoolKey, specs: Iterable<TargetSpec>): TargetPool {
        val load = pools.computeIfAbsent(key) { PoolLoad() }
        val members = specs
            .sortedBy { it.id.value }
            .map { Member(it, live(it.id)) }
            .toTypedArray()
        load.size = maxOf(members.size, 1)
        members.forEach {
            it.live.poolLoad = load
            it.live.batchSlots = it.spec.batchSlots
        }
        return TargetPool(key, members, load)
    }

    /** Own requests in flight at [target]. */
    public fun inFlight(target: TargetId): Int = targets[target]?.inFlight?.get() ?: 0

    /** Forgets the counters of all targets but [ids]. */
    public fun retain(ids: Set<TargetId>) {
        targets.keys.retainAll(ids)
    }

    /** What was seen of each target since the last call, for the search for quiet decay. */
    public fun takeSamples(): List<TargetSample> =
        targets.values.mapNotNull { it.samples.take(it.id) }

    internal fun find(id: TargetId): LiveTarget? = targets[id]

    private fun live(id: TargetId): LiveTarget = targets.computeIfAbsent(id) {
        LiveTarget(id, nextIndex.getAndIncrement() and PrefixIndex.MAX_TARGET, options)
    }
}

/** Load of a pool, in requests for each batch slot, from the reports of its targets. */
internal class PoolLoad {
    val mean = Average(0.0)

    /** Mean distance of the targets' loads from [mean]. */
    val deviation = Average(0.0)

    /** Own requests in flight. */
    val own = AtomicInteger()

    val window = SendWindow()

    @Volatile
    var size: Int = 1

    /** Own requests in flight for each target. */
    fun ownMean(): Double = own.get() / size.toDouble()

    fun add(slotLoad: Double) {
        mean.add(slotLoad, MEAN_PART)
        deviation.add(abs(slotLoad - mean.get()), MEAN_PART)
    }

    private companion object {
        const val MEAN_PART = 0.01
    }
}

/** A target of a pool with its counters. */
internal class Member(val spec: TargetSpec, val live: LiveTarget)
