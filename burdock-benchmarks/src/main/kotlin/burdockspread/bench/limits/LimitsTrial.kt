/** Limits of many organisations across many hosts in virtual time. */
package burdockspread.bench.limits

import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import burdockspread.id.OrganisationId
import burdockspread.limit.LimitDecision
import burdockspread.limit.OrganisationLimit
import burdockspread.limit.OrganisationLimits
import burdockspread.limit.OutgoingShareMessage
import burdockspread.limit.ShareMembers
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.collections.immutable.toPersistentMap
import kotlin.random.Random
import kotlin.time.Instant

/** Size of a run. */
internal data class LimitsSize(val domains: Int, val hostsPerDomain: Int, val organisations: Int)

/** Figures of one run. */
internal data class LimitsResult(
    /** Largest sum of the shares of one organisation, as a multiple of its limit. */
    val largestSum: Double,
    /** Largest rate of allowed requests over ten seconds, as a multiple of the limit. */
    val largestRate: Double,
    /** Part of the limit that organisations with too much demand could use. */
    val usedByLarge: Double,
    /** Part of the requests of organisations within their limits that were refused. */
    val refusedOfSmall: Double,
    /** Bytes sent and received by a host in a second. */
    val meanBytes: Double,
    val largestBytes: Double,
)

/** A few large organisations ask for three times their limits, all others for half of theirs. */
internal class LimitsTrial(private val size: LimitsSize, seed: Int = SEED) {
    private val random = Random(seed)
    private val domains = List(size.domains) { FailureDomainId("d$it") }
    private val organisations = List(size.organisations) { Org(OrganisationId("org-$it"), it) }
    private val hosts = domains.flatMap { domain ->
        List(size.hostsPerDomain) { Host(HostId("${domain.value}-h$it"), domain) }
    }
    private val byId = hosts.associateBy { it.id }
    private val inTransit = ArrayList<Transit>()
    private var millis = 1_700_000_000_000L
    private var largestSum = 0.0
    private val now: Instant get() = Instant.fromEpochMilliseconds(millis)

    fun run(): LimitsResult {
        start()
        repeat(SECONDS) { second -> runSecond(second) }
        val large = organisations.filter { it.large }
        val small = organisations.filter { !it.large }
        val measured = SECONDS - WARM_UP
        val bytes = hosts.map { it.bytes / measured.toDouble() }
        return LimitsResult(
            largestSum,
            organisations.maxOf { it.largestRate() / it.rate },
            large.sumOf { it.allowed } / (large.sumOf { it.rate } * measured),
            small.sumOf { it.refused } / small.sumOf { it.allowed + it.refused }.toDouble(),
            bytes.average(),
            bytes.max(),
        )
    }

    private fun start() {
        val limits = organisations.associate { it.id to OrganisationLimit(it.rate) }
            .toPersistentMap()
        val live = hosts.groupBy({ it.domain }, { it.id }).mapValues { it.value.toImmutableList() }
        val members = ShareMembers(domains.toImmutableList(), hosts.size, live.toImmutableMap())
        hosts.forEach {
            it.limits.onLimits(limits)
            it.limits.onMembers(members, now)
        }
    }

    private fun runSecond(second: Int) {
        val measured = second >= WARM_UP
        organisations.forEach { it.begin(second) }
        repeat(STEPS) { step ->
            millis += MILLIS / STEPS
            deliver(measured)
            organisations.forEach { ask(it, measured) }
            hosts.forEachIndexed { index, host ->
                if (index % STEPS == step) send(host, host.limits.onTick(now), measured)
            }
        }
        if (measured && second % SUM_EVERY == 0) organisations.forEach { checkSum(it) }
    }

    private fun ask(organisation: Org, measured: Boolean) {
        val expected = organisation.demand / STEPS
        var count = expected.toInt()
        if (random.nextDouble() < expected - count) count++
        repeat(count) {
            val host = hosts[random.nextInt(hosts.size)]
            val allowed = host.limits.check(organisation.id, 1, now) is LimitDecision.Allowed
            if (measured) organisation.count(allowed)
        }
    }

    private fun checkSum(organisation: Org) {
        val sum = hosts.sumOf { it.limits.share(organisation.id, now) }
        largestSum = maxOf(largestSum, sum)
    }

    private fun deliver(measured: Boolean) {
        val due = inTransit.filter { it.at <= millis }
        inTransit.removeAll { it.at <= millis }
        due.forEach { transit ->
            val host = byId.getValue(transit.send.to)
            if (measured) host.bytes += sizeOf(transit.send.message)
            send(host, host.limits.onMessage(transit.from, transit.send.message, now), measured)
        }
    }

    private fun send(host: Host, sends: List<OutgoingShareMessage>, measured: Boolean) =
        sends.forEach {
            if (measured) host.bytes += sizeOf(it.message)
            inTransit += Transit(host.id, it, millis + random.nextInt(1, MAX_DELAY_MILLIS))
        }

    private class Host(val id: HostId, val domain: FailureDomainId) {
        val limits = OrganisationLimits(id, domain)
        var bytes = 0L
    }

    private class Transit(val from: HostId, val send: OutgoingShareMessage, val at: Long)

    /** An organisation with its limit in requests per second and its counts. */
    private class Org(val id: OrganisationId, index: Int) {
        val large = index % LARGE_EVERY == 0
        val rate = if (large) 400.0 else 40.0
        val demand = if (large) rate * 3 else rate / 2
        var allowed = 0L
        var refused = 0L
        private val window = LongArray(WINDOW)
        private var second = 0
        private var most = 0L

        fun begin(second: Int) {
            most = maxOf(most, window.sum())
            this.second = second
            window[second % WINDOW] = 0
        }

        fun count(ok: Boolean) {
            if (ok) {
                allowed++
                window[second % WINDOW]++
            } else {
                refused++
            }
        }

        fun largestRate(): Double = most / WINDOW.toDouble()
    }

    companion object {
        const val SEED = 41
        const val SECONDS = 60
        const val WARM_UP = 25
        private const val STEPS = 10
        private const val SUM_EVERY = 5
        private const val MILLIS = 1_000L
        private const val MAX_DELAY_MILLIS = 150
        private const val LARGE_EVERY = 50
        private const val WINDOW = 10
    }
}
