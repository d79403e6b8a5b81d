package burdockspread.limit

import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import burdockspread.id.OrganisationId
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap
import kotlin.random.Random
import kotlin.time.Instant

/** Simulates hosts that exchange share messages over a slow network, in virtual time. */
internal class ShareNetwork(
    domainCount: Int,
    private val hostsPerDomain: Int,
    private val limits: ImmutableMap<OrganisationId, OrganisationLimit>,
    seed: Int,
    private val maxDelayMillis: Int = 300,
) {
    private val random = Random(seed)
    private val inTransit = ArrayList<Transit>()
    private val domains = List(domainCount) { FailureDomainId("d$it") }
    private var nowMillis = 1_000_000_000L
    val hosts = LinkedHashMap<HostId, Host>()
    val partitionedDomains = HashSet<FailureDomainId>()

    val now: Instant get() = Instant.fromEpochMilliseconds(nowMillis)

    init {
        domains.forEach { domain ->
            repeat(hostsPerDomain) { start(HostId("${domain.value}-h$it"), domain) }
        }
        announce()
    }

    fun start(id: HostId, domain: FailureDomainId) {
        val limits = OrganisationLimits(id, domain).also { it.onLimits(this.limits) }
        hosts[id] = Host(id, domain, limits)
    }

    fun kill(id: HostId) {
        hosts.remove(id)
    }

    /** Passes the current members to every host. */
    fun announce() = hosts.values.forEach { it.limits.onMembers(members(), now) }

    /** Returns the domain of the root allocator of [organisation]. */
    fun rootDomain(organisation: OrganisationId): FailureDomainId = hosts.getValue(
        checkNotNull(AllocatorSelector(members()).rootAllocator(organisation)),
    ).domain

    private fun members(): ShareMembers {
        val live = hosts.values.groupBy({ it.domain }, { it.id })
            .mapValues { it.value.toImmutableList() }
        val count = domains.size * hostsPerDomain
        return ShareMembers(domains.toImmutableList(), count, live.toImmutableMap())
    }

    /** Advances time by one step of 100 ms. Each host ticks once in ten steps. */
    fun step(load: (Host) -> Unit = {}) {
        nowMillis += STEP_MILLIS
        val due = inTransit.filter { it.atMillis <= nowMillis }
        inTransit.removeAll(due)
        due.forEach { hosts[it.to]?.let { host -> deliver(it, host) } }
        hosts.values.forEach(load)
        hosts.values.toList().forEachIndexed { index, host ->
            if (nowMillis / STEP_MILLIS % TICK_STEPS == index % TICK_STEPS) {
                send(host, host.limits.onTick(now))
            }
        }
    }

    /** Returns the sum of the shares of all hosts in domains that are not partitioned. */
    fun sum(organisation: OrganisationId): Double = hosts.values
        .filter { it.domain !in partitionedDomains }
        .sumOf { it.limits.share(organisation, now) }

    fun sharesOf(organisation: OrganisationId): Map<HostId, Double> =
        hosts.mapValues { it.value.limits.share(organisation, now) }

    private fun deliver(transit: Transit, host: Host) =
        send(host, host.limits.onMessage(transit.from, transit.message, now))

    private fun send(from: Host, sends: List<OutgoingShareMessage>) = sends.forEach {
        val to = hosts[it.to]
        val isPartitioned = to != null &&
            to.domain != from.domain &&
            (to.domain in partitionedDomains || from.domain in partitionedDomains)
        val isLost = random.nextInt(100) < LOSS_PERCENT
        if (!isPartitioned && !isLost) {
            val delay = random.nextInt(1, maxDelayMillis)
            inTransit += Transit(from.id, it.to, it.message, nowMillis + delay)
        }
    }

    class Host(val id: HostId, val domain: FailureDomainId, val limits: OrganisationLimits)

    private class Transit(
        val from: HostId,
        val to: HostId,
        val message: ShareMessage,
        val atMillis: Long,
    )

    companion object {
        const val STEP_MILLIS = 100L
        const val TICK_STEPS = 10L
        const val LOSS_PERCENT = 2
    }
}
