/** One policy under one pattern. */
package burdockspread.bench.load

import burdockspread.bench.routing.Simulation
import burdockspread.forward.catalog.EngineSpec
import burdockspread.forward.catalog.Service
import burdockspread.forward.directory.ListedTarget
import burdockspread.forward.directory.TargetEntry
import burdockspread.forward.load.AttemptOutcome
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

/** Makes the policy of one host. */
internal class NamedPolicy(
    val name: String,
    val sharing: Sharing? = null,
    val create: (domain: FailureDomainId, seed: Long, world: World) -> LoadPolicy,
)

/** How often hosts tell each other of their requests, and how late that arrives on average. */
internal data class Sharing(
    val everySeconds: Double,
    val lagSeconds: Double,
    /** Whether only hosts of one failure domain tell each other. */
    val ownDomain: Boolean = false,
)

/** What an all-knowing baseline may look at. */
internal fun interface World {
    /** Requests at a runner, waiting ones included. */
    fun load(target: TargetId): Int
}

/** Figures of one trial. */
internal data class TrialResult(
    val asked: Int,
    /** Whole answers, first event and pauses within the objectives. */
    val inTime: Int,
    val refused: Int,
    val firstP50: Long,
    val firstP95: Long,
    /** Mean time from the request to the end of its answer, in milliseconds. */
    val meanWhole: Double,
    /** Prompt tokens read for runs that broke, or read again, per token asked for. */
    val readInVain: Double,
) {
    val goodput: Double get() = inTime.toDouble() / asked
}

/** Hosts with a policy each, between arrivals and runners, in virtual time. */
internal class Trial(private val policy: NamedPolicy, private val pattern: Pattern, seed: Long) {
    private val simulation = Simulation()
    private val random = Random(seed)
    private val shape = RunnerShape()
    private val runners = LinkedHashMap<TargetId, Runner>()
    private val listed = LinkedHashMap<TargetId, TargetEntry>()
    private val world = World { runners[it]?.load ?: 0 }
    private val hosts = List(pattern.hosts) { host ->
        policy.create(domain(host % pattern.domains), seed + host, world)
    }
    private val firsts = Histogram(MAX_MILLIS, 2)
    private val wholes = Histogram(MAX_MILLIS, 2)
    private var tickets = 0L
    private var incarnations = 0
    private var asked = 0
    private var inTime = 0
    private var refused = 0
    private var prompted = 0L
    private var vain = 0L

    fun run(): TrialResult {
        repeat(pattern.domains) { domain -> repeat(pattern.runnersPerDomain) { start(domain) } }
        tellTargets()
        policy.sharing?.let { share(it) }
        pattern.losses.forEach { loss -> simulation.after(loss.at) { lose(loss) } }
        arrive()
        simulation.runUntil(LENGTH + TAIL)
        return TrialResult(
            asked,
            inTime,
            refused,
            firsts.getValueAtPercentile(50.0),
            firsts.getValueAtPercentile(95.0),
            wholes.mean,
            vain.toDouble() / prompted,
        )
    }

    /** Hosts hear of each other's requests every [Sharing.everySeconds], late. */
    private fun share(sharing: Sharing) {
        simulation.every(sharing.everySeconds) {
            val groups = hosts.indices.groupBy {
                if (sharing.ownDomain) it % pattern.domains else 0
            }
            groups.values.forEach { tell(it, sharing) }
        }
    }

    private fun tell(group: List<Int>, sharing: Sharing) {
        val at = simulation.now
        val loads = group.associateWith { hosts[it].localLoads() }
        val sum = HashMap<TargetId, Int>()
        loads.values.forEach { own -> own.forEach { (id, runs) -> sum.merge(id, runs, Int::plus) } }
        group.forEach { index ->
            val others = sum.mapValues { (id, runs) -> runs - (loads.getValue(index)[id] ?: 0) }
            val lag = sharing.lagSeconds * (0.5 + random.nextDouble())
            simulation.after(lag) { hosts[index].onPeerLoads(others, at) }
        }
    }

    private fun start(domain: Int) {
        val id = TargetId("r${incarnations++}")
        runners[id] = Runner(simulation, shape)
        listed[id] = TargetEntry(id, SERVICE, "$id", domain(domain), shape.slots, false, 1, 1)
    }

    private fun lose(loss: DomainLoss) {
        val lost = listed.values.filter { it.failureDomain == domain(loss.domain) }.map { it.id }
        lost.forEach { runners.getValue(it).crash() }
        simulation.after(loss.downSeconds + LIST_SECONDS) {
            lost.forEach { start(loss.domain) }
            tellTargets()
        }
        simulation.after(LAPSE_SECONDS) {
            listed -= lost.toSet()
            tellTargets()
        }
    }

    private fun tellTargets() {
        val targets = listed.values.map { ListedTarget(it, false) }.toImmutableList()
        hosts.forEach { it.onTargets(ENGINES, targets, simulation.now) }
    }

    private fun arrive() {
        val surge = pattern.surges.firstOrNull { simulation.seconds in it.from..it.until }
        val rate = pattern.perSecond * (surge?.factor ?: 1.0)
        simulation.after(-ln(1.0 - random.nextDouble()) / rate) {
            if (simulation.seconds < LENGTH) {
                Answer(hosts.random(random), size(pattern.promptTokens), size(pattern.outputTokens))
                    .ask()
                arrive()
            }
        }
    }

    /** Within three tenths of [mean]. */
    private fun size(mean: Int): Int = (mean * (0.7 + 0.6 * random.nextDouble())).toInt()

    private fun domain(index: Int) = FailureDomainId("d$index")

    /** One caller's request until its answer is whole. */
    private inner class Answer(
        private val host: LoadPolicy,
        private val prompt: Int,
        private val output: Int,
    ) : RunListener {
        private val localId = ++tickets
        private val askedAt = simulation.seconds
        private var lastAt = askedAt
        private var firstAt = 0.0
        private var late = false
        private var passed = 0
        private var attempt = 0
        private var target: TargetId? = null
        private var copy: TargetId? = null

        fun ask() {
            asked++
            prompted += prompt
            settle(host.submit(request(), simulation.now), fresh = true)
        }

        private fun request() = PlacementRequest(
            localId = localId,
            promptTokens = prompt,
            outputTokens = output,
            waitUntil = simulation.now + WAIT,
            isResume = attempt > 0,
            preferredTarget = copy,
            wantsReplica = true,
        )

        private fun settle(decision: PlacementDecision, fresh: Boolean) {
            when (decision) {
                is PlacementDecision.Placed -> send(decision)
                is PlacementDecision.Refused -> refused++
                is PlacementDecision.Waiting -> simulation.after(POLL_SECONDS) { poll(fresh) }
            }
        }

        private fun poll(fresh: Boolean) {
            val mine = host.poll(simulation.now)
            mine.forEach { pending[it.localId] = it.decision }
            settle(pending.remove(localId) ?: PlacementDecision.Waiting, fresh)
        }

        private fun send(placed: PlacementDecision.Placed) {
            attempt++
            val id = placed.target.id
            // A run that had begun goes on from its copy; otherwise its prompt is read anew.
            val kept = id == copy && passed > 0
            if (attempt > 1 && !kept && passed > 0) vain += prompt
            target = id
            copy = placed.replicaTarget?.id
            runners.getValue(id).submit(Run(prompt, if (kept) 0 else prompt, output - passed, this))
        }

        override fun onEvent(tokens: Int) {
            val now = simulation.seconds
            if (firstAt == 0.0) {
                firstAt = now
                firsts.recordValue(((now - askedAt) * MILLIS).toLong().coerceAtMost(MAX_MILLIS))
                late = now - askedAt > FIRST_OBJECTIVE
                val load = runners.getValue(checkNotNull(target)).load
                host.inFlight()
                    .onResponseHead(localId, ReportedLoad(load, 0, shape.slots), simulation.now)
            } else if (now - lastAt > PAUSE_OBJECTIVE) {
                late = true
            }
            lastAt = now
            passed = minOf(output - 1, passed + shape.tokensPerEvent)
        }

        override fun onDone() {
            host.inFlight().onEnded(localId, AttemptOutcome.DONE, simulation.now)
            val took = simulation.seconds - askedAt
            wholes.recordValue((took * MILLIS).toLong().coerceAtMost(MAX_MILLIS))
            if (!late && took < DEADLINE) inTime++
        }

        override fun onBroken(read: Int) {
            if (passed == 0) vain += read
            host.inFlight().onEnded(localId, AttemptOutcome.BROKEN, simulation.now)
            if (simulation.seconds - askedAt > DEADLINE) return
            settle(host.submit(request(), simulation.now), fresh = false)
        }
    }

    private val pending = HashMap<Long, PlacementDecision>()

    private companion object {
        const val LENGTH = 80.0
        const val TAIL = 40.0
        const val MILLIS = 1_000.0
        const val MAX_MILLIS = 120_000L
        const val FIRST_OBJECTIVE = 4.5
        const val PAUSE_OBJECTIVE = 0.7
        const val DEADLINE = 25.0
        const val POLL_SECONDS = 0.05

        /** A new runner is listed this long after its start, a lost one leaves the list. */
        const val LIST_SECONDS = 0.8
        const val LAPSE_SECONDS = 3.6
        val WAIT = 0.54.seconds
        val SERVICE = ServiceId("drafts")
        val ENGINES = RunnerShape().let {
            Service(SERVICE, 300, EngineSpec(it.slots, it.memoryTokens, replicatesKvCache = true))
        }
    }
}
