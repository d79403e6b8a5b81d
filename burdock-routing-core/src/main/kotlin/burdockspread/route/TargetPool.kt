/** The targets that serve one model or service. */
package burdockspread.route

import burdockspread.id.FailureDomainId

/** An immutable snapshot of the targets of one model or service. */
public class TargetPool internal constructor(
    /** What the pool serves. */
    public val key: PoolKey,
    internal val members: Array<Member>,
    internal val load: PoolLoad,
) {
    private val indices: IntArray
    private val positions: IntArray
    private val domains: Map<FailureDomainId, PoolGroup>
    private val adapters: Map<String, PoolGroup>
    private val adaptersByDomain: Map<AdapterDomain, PoolGroup>

    init {
        val byIndex = members.withIndex().sortedBy { it.value.live.index }
        indices = IntArray(members.size) { byIndex[it].value.live.index }
        positions = IntArray(members.size) { byIndex[it].index }
        domains = groups { listOf(it.failureDomain) }
        adapters = groups { it.adapters }
        adaptersByDomain = groups { spec ->
            spec.adapters.map { AdapterDomain(it, spec.failureDomain) }
        }
    }

    /** Number of targets. */
    public val size: Int get() = members.size

    /** Targets in the order of their names. */
    public val targets: List<TargetSpec> get() = members.map { it.spec }

    /** Whether this host may send one more request to the pool without making its queues longer. */
    internal fun admits(): Boolean = load.window.admits(load.own.get())

    internal val everywhere: PoolGroup = PoolGroup(IntArray(members.size) { it })

    /** Members of [domain] that have [adapter] loaded, or all of the domain for no adapter. */
    internal fun local(domain: FailureDomainId, adapter: String): PoolGroup {
        if (adapter.isEmpty()) return domains[domain] ?: PoolGroup.EMPTY
        val exact = adaptersByDomain[AdapterDomain(adapter, domain)]
        return exact ?: domains[domain] ?: PoolGroup.EMPTY
    }

    /** Members that have [adapter] loaded, or all for no adapter or one that nobody has. */
    internal fun anywhere(adapter: String): PoolGroup =
        if (adapter.isEmpty()) everywhere else adapters[adapter] ?: everywhere

    /** Member whose counters have the number [index], or null. */
    internal fun byIndex(index: Int): Member? {
        val found = indices.binarySearch(index)
        return if (found < 0) null else members[positions[found]]
    }

    private fun <K> groups(keys: (TargetSpec) -> Iterable<K>): Map<K, PoolGroup> {
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

/** Positions of some members of a pool. */
internal class PoolGroup(private val positions: IntArray) {
    val size: Int get() = positions.size

    operator fun get(index: Int): Int = positions[index]

    companion object {
        val EMPTY = PoolGroup(IntArray(0))
    }
}
