/** Simulates rate limits of many organisations across many hosts, in virtual time. */
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

/** Results of one run. */
internal data class LimitsResult(
    /** Largest sum of the shares of one organisation, as a multiple of its limit. */
    val maxShareSum: Double,
    /** Largest rate of allowed requests over ten seconds, as a multiple of the limit. */
    val maxRate: Double,
    /** Fraction of their limits that organisations with excess demand could use. */
    val largeUtilization: Double,
    /** Fraction of the requests of organisations within their limits that were refused. */
    val smallRefusalRate: Double,
    /** Mean bytes that a host sends and receives per second. */
    val meanBytesPerSecond: Double,
    val maxBytesPerSecond: Double,
)

/** One organisation in 50 is large and demands 3 times its limit, the others half of theirs. */
internal class LimitsTrial(private val size: LimitsSize, seed: Int = SEED) {
    private val random = Random(seed)
    private val domains = List(size.domains) { FailureDomainId("d$it") }
    private val organisations = List(size.organisations) {
        Organisation(OrganisationId("org-$it"), it)
    }
    private val hosts = domains.flatMap { domain ->
        List(size.hostsPerDomain) { Host(HostId("${domain.value}-h$it"), domain) }
    }
    private val hostsById = hosts.associateBy { it.id }
    private val inTransit = ArrayList<Transit>()
    private var nowMillis = 1_700_000_000_000L
    private var maxShareSum = 0.0
    private val now: Instant get() = Instant.fromEpochMilliseconds(nowMillis)

    fun run(): LimitsResult {
        start()
        repeat(DURATION_SECONDS) { second -> runSecond(second) }
        val large = organisations.filter { it.large }
        val small = organisations.filter { !it.large }
        val measured = DURATION_SECONDS - WARM_UP_SECONDS
        val bytes = hosts.map { it.bytes / measured.toDouble() }
        return LimitsResult(
            maxShareSum,
            organisations.maxOf { it.maxRate() / it.rate },
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
        val measured = second >= WARM_UP_SECONDS
        organisations.forEach { it.startSecond(second) }
        repeat(STEPS_PER_SECOND) { step ->
            nowMillis += MILLIS_PER_SECOND / STEPS_PER_SECOND
            deliver(measured)
            organisations.forEach { generateRequests(it, measured) }
            hosts.forEachIndexed { index, host ->
                if (index % STEPS_PER_SECOND == step) send(host, host.limits.onTick(now), measured)
            }
        }
        if (measured && second % SUM_SECONDS == 0) organisations.forEach { updateMaxSum(it) }
    }

    private fun generateRequests(organisation: Organisation, measured: Boolean) {
        val expected = organisation.demand / STEPS_PER_SECOND
        var count = expected.toInt()
        if (random.nextDouble() < expected - count) count++
        repeat(count) {
            val host = hosts[random.nextInt(hosts.size)]
            val allowed = host.limits.check(organisation.id, 1, now) is LimitDecision.Allowed
            if (measured) organisation.count(allowed)
        }
    }

    private fun updateMaxSum(organisation: Organisation) {
        val sum = hosts.sumOf { it.limits.share(organisation.id, now) }
        maxShareSum = maxOf(maxShareSum, sum)
    }

    private fun deliver(measured: Boolean) {
        val due = inTransit.filter { it.at <= nowMillis }
        inTransit.removeAll { it.at <= nowMillis }
        due.forEach { transit ->
            val host = hostsById.getValue(transit.send.to)
            if (measured) host.bytes += wireSize(transit.send.message)
            send(host, host.limits.onMessage(transit.from, transit.send.message, now), measured)
        }
    }

    private fun send(host: Host, sends: List<OutgoingShareMessage>, measured: Boolean) =
        sends.forEach {
            if (measured) host.bytes += wireSize(it.message)
            inTransit += Transit(host.id, it, nowMillis + random.nextInt(1, MAX_DELAY_MILLIS))
        }

    private class Host(val id: HostId, val domain: FailureDomainId) {
        val limits = OrganisationLimits(id, domain)
        var bytes = 0L
    }

    private class Transit(val from: HostId, val send: OutgoingShareMessage, val at: Long)

    /** An organisation with its limit and demand in requests per second, and its counts. */
    private class Organisation(val id: OrganisationId, index: Int) {
        val large = index % LARGE_INTERVAL == 0
        val rate = if (large) 400.0 else 40.0
        val demand = if (large) rate * 3 else rate / 2
        var allowed = 0L
        var refused = 0L
        private val window = LongArray(WINDOW_SECONDS)
        private var second = 0
        private var maxInWindow = 0L

        fun startSecond(second: Int) {
            maxInWindow = maxOf(maxInWindow, window.sum())
            this.second = second
            window[second % WINDOW_SECONDS] = 0
        }

        fun count(isAllowed: Boolean) {
            if (isAllowed) {
                allowed++
                window[second % WINDOW_SECONDS]++
            } else {
                refused++
            }
        }

        fun maxRate(): Double = maxInWindow / WINDOW_SECONDS.toDouble()
    }

    companion object {
        const val SEED = 41
        const val DURATION_SECONDS = 60
        const val WARM_UP_SECONDS = 25
        private const val STEPS_PER_SECOND = 10
        private const val SUM_SECONDS = 5
        private const val MILLIS_PER_SECOND = 1_000L
        private const val MAX_DELAY_MILLIS = 150
        private const val LARGE_INTERVAL = 50
        private const val WINDOW_SECONDS = 10
    }
}
