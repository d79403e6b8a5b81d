/** Registry of target state, which outlives the snapshots of the pools. */
package burdockspread.route

import burdockspread.health.TargetSample
import burdockspread.id.TargetId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.math.abs

/** Keeps the state of each target and creates pool snapshots that share it. */
public class TargetRegistry(private val options: RouteOptions = RouteOptions()) {
    private val targets = ConcurrentHashMap<TargetId, TargetState>()
    private val pools = ConcurrentHashMap<PoolKey, PoolLoad>()
    private val nextIndex = AtomicInteger()

    /** Number of registered targets. */
    public val size: Int get() = targets.size

    /** Creates an immutable snapshot of the pool [key] with the targets [specs]. */
    public fun pool(key: PoolKey, specs: Iterable<TargetSpec>): TargetPool {
        val load = pools.computeIfAbsent(key) { PoolLoad() }
        val members = specs
            .sortedBy { it.id.value }
            .map { PoolMember(it, stateOf(it.id)) }
            .toTypedArray()
        load.size = maxOf(members.size, 1)
        members.forEach {
            it.state.poolLoad = load
            it.state.batchSlots = it.spec.batchSlots
        }
        return TargetPool(key, members, load)
    }

    /** Returns the number of this host's requests in flight at [target]. */
    public fun inFlight(target: TargetId): Int = targets[target]?.inFlight?.get() ?: 0

    /** Removes the state of all targets except [ids]. */
    public fun retain(ids: Set<TargetId>) {
        targets.keys.retainAll(ids)
    }

    /** Returns the samples of each target since the last call, for outlier detection. */
    public fun takeSamples(): List<TargetSample> =
        targets.values.mapNotNull { it.samples.take(it.id) }

    internal fun find(id: TargetId): TargetState? = targets[id]

    private fun stateOf(id: TargetId): TargetState = targets.computeIfAbsent(id) {
        TargetState(id, nextIndex.getAndIncrement() and PrefixIndex.MAX_TARGET, options)
    }
}

/** Load of a pool in requests per batch slot, averaged over the reports of its targets. */
internal class PoolLoad {
    val mean = MovingAverage(0.0)

    /** Mean absolute deviation of the targets' loads from [mean]. */
    val deviation = MovingAverage(0.0)

    /** This host's requests in flight in the pool. */
    val ownInFlight = AtomicInteger()

    val window = SendWindow()

    @Volatile
    var size: Int = 1

    /** Returns the mean number of this host's requests in flight per target. */
    fun ownInFlightPerTarget(): Double = ownInFlight.get() / size.toDouble()

    fun add(loadPerSlot: Double) {
        mean.add(loadPerSlot, MEAN_WEIGHT)
        deviation.add(abs(loadPerSlot - mean.get()), MEAN_WEIGHT)
    }

    private companion object {
        const val MEAN_WEIGHT = 0.01
    }
}

/** A target of a pool with its state. */
internal class PoolMember(val spec: TargetSpec, val state: TargetState)
