/** Snapshots of the targets that serve one model or service. */
package burdockspread.route

import burdockspread.id.FailureDomainId

/** Immutable snapshot of the targets of one model or service. */
public class TargetPool internal constructor(
    /** Model or service that the pool serves. */
    public val key: PoolKey,
    internal val members: Array<PoolMember>,
    internal val load: PoolLoad,
) {
    private val stateIndices: IntArray
    private val positions: IntArray
    private val byDomain: Map<FailureDomainId, PoolGroup>
    private val byAdapter: Map<String, PoolGroup>
    private val byAdapterAndDomain: Map<AdapterDomain, PoolGroup>

    init {
        val byIndex = members.withIndex().sortedBy { it.value.state.index }
        stateIndices = IntArray(members.size) { byIndex[it].value.state.index }
        positions = IntArray(members.size) { byIndex[it].index }
        byDomain = groupMembers { listOf(it.failureDomain) }
        byAdapter = groupMembers { it.adapters }
        byAdapterAndDomain = groupMembers { spec ->
            spec.adapters.map { AdapterDomain(it, spec.failureDomain) }
        }
    }

    /** Number of targets. */
    public val size: Int get() = members.size

    /** Targets, sorted by name. */
    public val targets: List<TargetSpec> get() = members.map { it.spec }

    /** Returns whether this host may send one more request without growing the pool's queues. */
    internal fun hasCapacity(): Boolean = load.window.allows(load.ownInFlight.get())

    internal val allMembers: PoolGroup = PoolGroup(IntArray(members.size) { it })

    /** Returns the members of [domain] with [adapter] loaded, or all of them if none has it. */
    internal fun inDomain(domain: FailureDomainId, adapter: String): PoolGroup {
        if (adapter.isEmpty()) return byDomain[domain] ?: PoolGroup.EMPTY
        val exact = byAdapterAndDomain[AdapterDomain(adapter, domain)]
        return exact ?: byDomain[domain] ?: PoolGroup.EMPTY
    }

    /** Returns the members with [adapter] loaded, or all if it is empty or loaded nowhere. */
    internal fun inAnyDomain(adapter: String): PoolGroup =
        if (adapter.isEmpty()) allMembers else byAdapter[adapter] ?: allMembers

    /** Returns the member whose target state has the number [index], or null. */
    internal fun byIndex(index: Int): PoolMember? {
        val found = stateIndices.binarySearch(index)
        return if (found < 0) null else members[positions[found]]
    }

    private fun <K> groupMembers(keys: (TargetSpec) -> Iterable<K>): Map<K, PoolGroup> {
        val lists = HashMap<K, MutableList<Int>>()
        members.forEachIndexed { position, member ->
            keys(member.spec).forEach { key ->
                lists.getOrPut(key) { mutableListOf() }.add(position)
            }
        }
        return lists.mapValues { PoolGroup(it.value.toIntArray()) }
    }

    private data class AdapterDomain(val adapter: String, val domain: FailureDomainId)
}

/** Positions of a subset of the members of a pool. */
internal class PoolGroup(private val positions: IntArray) {
    val size: Int get() = positions.size

    operator fun get(index: Int): Int = positions[index]

    companion object {
        val EMPTY = PoolGroup(IntArray(0))
    }
}
