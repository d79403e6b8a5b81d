/** Simulates one policy under one load pattern. */
package burdockspread.bench.load

import burdockspread.bench.routing.Simulation
import burdockspread.forward.catalog.EngineSpec
import burdockspread.forward.catalog.Service
import burdockspread.forward.directory.ListedTarget
import burdockspread.forward.directory.TargetEntry
import burdockspread.forward.load.AttemptOutcome
import burdockspread.forward.load.HostLoad
import burdockspread.forward.load.LoadPolicy
import burdockspread.forward.load.PlacementDecision
import burdockspread.forward.load.PlacementRequest
import burdockspread.forward.load.ReportedLoad
import burdockspread.id.FailureDomainId
import burdockspread.id.ServiceId
import burdockspread.id.TargetId
import kotlinx.collections.immutable.toImmutableList
import org.HdrHistogram.Histogram
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** A policy with its name in the table and a factory for the instance of each host. */
internal class NamedPolicy(
    val name: String,
    val sharing: Sharing? = null,
    val create: (domain: FailureDomainId, seed: Long, oracle: Oracle) -> LoadPolicy,
)

/** How often hosts share their loads, and with what mean delay. */
internal data class Sharing(
    val intervalSeconds: Double,
    val meanDelaySeconds: Double,
    /** Whether loads are shared only within a failure domain. */
    val withinDomain: Boolean = false,
)

/** Current loads of all runners, for the baseline that knows them. */
internal fun interface Oracle {
    /** Returns the running and waiting requests at a runner. */
    fun load(target: TargetId): Int
}

/** Results of one trial. */
internal data class TrialResult(
    val requests: Int,
    /** Complete responses with first event and pauses within the objectives. */
    val inTime: Int,
    val refused: Int,
    val firstEventP50Millis: Long,
    val firstEventP95Millis: Long,
    /** Mean time from the request to the end of its response. */
    val completionMillis: Double,
    /** Prompt tokens prefilled for broken runs or again, per requested prompt token. */
    val wastedPrefillRatio: Double,
) {
    val goodput: Double get() = inTime.toDouble() / requests
}

/** Hosts that place arriving requests on runners, each with its own policy instance. */
internal class Trial(private val policy: NamedPolicy, private val pattern: Pattern, seed: Long) {
    private val simulation = Simulation()
    private val random = Random(seed)
    private val shape = RunnerShape()
    private val runners = LinkedHashMap<TargetId, Runner>()
    private val listed = LinkedHashMap<TargetId, TargetEntry>()
    private val oracle = Oracle { runners[it]?.load ?: 0 }
    private val hosts = List(pattern.hosts) { host ->
        policy.create(domain(host % pattern.domains), seed + host, oracle)
    }
    private val firstEvents = Histogram(MAX_MILLIS, 2)
    private val completions = Histogram(MAX_MILLIS, 2)
    private var lastLocalId = 0L
    private var startedRunners = 0
    private var requests = 0
    private var inTime = 0
    private var refused = 0
    private var requestedPromptTokens = 0L
    private var wastedPromptTokens = 0L

    fun run(): TrialResult {
        repeat(pattern.domains) { domain -> repeat(pattern.runnersPerDomain) { start(domain) } }
        publishTargets()
        policy.sharing?.let { scheduleSharing(it) }
        pattern.losses.forEach { loss -> simulation.after(loss.at) { crashDomain(loss) } }
        scheduleArrival()
        simulation.runUntil(ARRIVAL_SECONDS + DRAIN_SECONDS)
        return TrialResult(
            requests,
            inTime,
            refused,
            firstEvents.getValueAtPercentile(50.0),
            firstEvents.getValueAtPercentile(95.0),
            completions.mean,
            wastedPromptTokens.toDouble() / requestedPromptTokens,
        )
    }

    /** Shares loads between hosts every [Sharing.intervalSeconds], with a delay. */
    private fun scheduleSharing(sharing: Sharing) {
        simulation.every(sharing.intervalSeconds) {
            val groups = hosts.indices.groupBy {
                if (sharing.withinDomain) it % pattern.domains else 0
            }
            groups.values.forEach { exchangeLoads(it, sharing) }
        }
    }

    private fun exchangeLoads(group: List<Int>, sharing: Sharing) {
        val at = simulation.now
        val loads = group.associateWith { hosts[it].localLoads() }
        val sum = HashMap<TargetId, HostLoad>()
        loads.values.forEach { own ->
            own.forEach { (id, load) -> sum.merge(id, load, HostLoad::plus) }
        }
        group.forEach { index ->
            val others = sum.mapValues { (id, load) ->
                val own = loads.getValue(index)[id] ?: HostLoad(0)
                HostLoad(load.runs - own.runs, load.unreadTokens - own.unreadTokens)
            }
            val delay = sharing.meanDelaySeconds * (0.5 + random.nextDouble())
            simulation.after(delay) { hosts[index].onPeerLoads(others, at) }
        }
    }

    private fun start(domain: Int) {
        val id = TargetId("r${startedRunners++}")
        runners[id] = Runner(simulation, shape)
        listed[id] = TargetEntry(id, SERVICE, "$id", domain(domain), shape.slots, false, 1, 1)
    }

    private fun crashDomain(loss: DomainLoss) {
        val crashed = listed.values.filter { it.failureDomain == domain(loss.domain) }.map { it.id }
        crashed.forEach { runners.getValue(it).crash() }
        simulation.after(loss.downSeconds + LISTING_DELAY_SECONDS) {
            crashed.forEach { start(loss.domain) }
            publishTargets()
        }
        simulation.after(EXPIRY_SECONDS) {
            listed -= crashed.toSet()
            publishTargets()
        }
    }

    private fun publishTargets() {
        val targets = listed.values.map { ListedTarget(it) }.toImmutableList()
        hosts.forEach { it.onTargets(ENGINES, targets, simulation.now) }
    }

    private fun scheduleArrival() {
        val surge = pattern.surges.firstOrNull { simulation.seconds in it.from..it.until }
        val rate = pattern.requestsPerSecond * (surge?.factor ?: 1.0)
        simulation.after(-ln(1.0 - random.nextDouble()) / rate) {
            if (simulation.seconds < ARRIVAL_SECONDS) {
                Call(hosts.random(random), draw(pattern.promptTokens), draw(pattern.outputTokens))
                    .begin()
                scheduleArrival()
            }
        }
    }

    /** Returns a size drawn uniformly within 30% of [mean]. */
    private fun draw(mean: Int): Int = (mean * (0.7 + 0.6 * random.nextDouble())).toInt()

    private fun domain(index: Int) = FailureDomainId("d$index")

    /** One caller's request, until its response is complete or it fails. */
    private inner class Call(
        private val host: LoadPolicy,
        private val prompt: Int,
        private val output: Int,
    ) : RunListener {
        private val localId = ++lastLocalId
        private val startedAt = simulation.seconds
        private var lastEventAt = startedAt
        private var firstEventAt = 0.0
        private var missedObjective = false
        private var delivered = 0
        private var attempt = 0
        private var target: TargetId? = null
        private var replica: TargetId? = null

        fun begin() {
            requests++
            requestedPromptTokens += prompt
            onDecision(host.submit(request(), simulation.now), isFirst = true)
        }

        private fun request() = PlacementRequest(
            localId = localId,
            promptTokens = prompt,
            outputTokens = output,
            waitUntil = simulation.now + MAX_WAIT,
            isResume = attempt > 0,
            preferredTarget = replica,
            wantsReplica = true,
        )

        private fun onDecision(decision: PlacementDecision, isFirst: Boolean) {
            when (decision) {
                is PlacementDecision.Placed -> send(decision)
                is PlacementDecision.Refused -> refused++
                is PlacementDecision.Waiting -> simulation.after(POLL_SECONDS) { poll(isFirst) }
            }
        }

        private fun poll(isFirst: Boolean) {
            val resolved = host.poll(simulation.now)
            resolved.forEach { pending[it.localId] = it.decision }
            onDecision(pending.remove(localId) ?: PlacementDecision.Waiting, isFirst)
        }

        private fun send(placed: PlacementDecision.Placed) {
            attempt++
            val id = placed.target.id
            // A run that had delivered tokens resumes from its replica; otherwise it prefills anew.
            val usesReplica = id == replica && delivered > 0
            if (attempt > 1 && !usesReplica && delivered > 0) wastedPromptTokens += prompt
            target = id
            replica = placed.replicaTarget?.id
            runners.getValue(id).submit(
                Run(prompt, if (usesReplica) 0 else prompt, output - delivered, this),
            )
        }

        override fun onEvent(tokens: Int) {
            val now = simulation.seconds
            if (firstEventAt == 0.0) {
                firstEventAt = now
                firstEvents.recordValue(
                    ((now - startedAt) * MILLIS).toLong().coerceAtMost(MAX_MILLIS),
                )
                missedObjective = now - startedAt > FIRST_EVENT_SECONDS
                val load = runners.getValue(checkNotNull(target)).load
                host.inFlight()
                    .onResponseHead(localId, ReportedLoad(load, 0, shape.slots), simulation.now)
            } else if (now - lastEventAt > MAX_PAUSE_SECONDS) {
                missedObjective = true
            }
            lastEventAt = now
            delivered = minOf(output - 1, delivered + shape.tokensPerEvent)
        }

        override fun onDone() {
            host.inFlight().onEnded(localId, AttemptOutcome.DONE, simulation.now)
            val elapsed = simulation.seconds - startedAt
            completions.recordValue((elapsed * MILLIS).toLong().coerceAtMost(MAX_MILLIS))
            if (!missedObjective && elapsed < DEADLINE_SECONDS) inTime++
        }

        override fun onBroken(prefilled: Int) {
            if (delivered == 0) wastedPromptTokens += prefilled
            host.inFlight().onEnded(localId, AttemptOutcome.BROKEN, simulation.now)
            if (simulation.seconds - startedAt > DEADLINE_SECONDS) return
            onDecision(host.submit(request(), simulation.now), isFirst = false)
        }
    }

    private val pending = HashMap<Long, PlacementDecision>()

    private companion object {
        const val ARRIVAL_SECONDS = 80.0
        const val DRAIN_SECONDS = 40.0
        const val MILLIS = 1_000.0
        const val MAX_MILLIS = 120_000L
        const val FIRST_EVENT_SECONDS = 4.5
        const val MAX_PAUSE_SECONDS = 0.7
        const val DEADLINE_SECONDS = 25.0
        const val POLL_SECONDS = 0.05

        /** Delays until a new runner is listed and until a crashed one leaves the list. */
        const val LISTING_DELAY_SECONDS = 0.8
        const val EXPIRY_SECONDS = 3.6
        val MAX_WAIT = 0.54.seconds
        val SERVICE = ServiceId("drafts")
        val ENGINES = RunnerShape().let {
            Service(SERVICE, 300, EngineSpec(it.slots, it.memoryTokens, replicatesKvCache = true))
        }
    }
}
