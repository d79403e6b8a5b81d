/** Least expected load, with room for a run and its copy, own failure domain first. */
package burdockspread.forward.load

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.forward.catalog.Service
import burdockspread.forward.directory.ListedTarget
import burdockspread.id.FailureDomainId
import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableMap
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

internal class RealLoadPolicy(
    private val ownDomain: FailureDomainId,
    seed: Long,
    private val losses: TargetLossListener,
    private val options: LoadOptions,
) : LoadPolicy,
    InFlightTracker {
    private val random = Random(seed)
    private val targets = LinkedHashMap<TargetId, TargetLoad>()

    /** The values of [targets], for access by index. */
    private var pool: List<TargetLoad> = emptyList()
    private val placements = HashMap<Long, TargetId>()
    private val copies = HashMap<Long, TargetId>()
    private val queue = WaitingQueue()
    private val silentDomains = HashMap<FailureDomainId, Instant>()
    private var service: Service? = null

    override fun onTargets(service: Service, targets: ImmutableList<ListedTarget>, now: Instant) {
        this.service = service
        val ids = targets.map { it.entry.id }.toSet()
        this.targets.keys.retainAll(ids)
        targets.forEach { listed ->
            this.targets.getOrPut(listed.entry.id) { TargetLoad(listed, now) }.onListed(listed)
        }
        pool = this.targets.values.toList()
    }

    override fun submit(request: PlacementRequest, now: Instant): PlacementDecision {
        if (queue.mayOvertake(request)) place(request, now)?.let { return it }
        if (targets.isEmpty() && !request.isResume) return PlacementDecision.Refused(noTarget())
        if (now >= request.waitUntil) return PlacementDecision.Refused(overloaded(now))
        if (queue.size >= options.queueBound) return PlacementDecision.Refused(overloaded(now))
        queue.add(request)
        return PlacementDecision.Waiting
    }

    override fun poll(now: Instant): ImmutableList<ResolvedPlacement> {
        if (queue.size == 0) return persistentListOf()
        return persistentListOf<ResolvedPlacement>().mutate { settled ->
            queue.expired(now).forEach {
                settled += ResolvedPlacement(it.localId, PlacementDecision.Refused(overloaded(now)))
            }
            for (request in queue.inOrder()) {
                val placed = place(request, now) ?: continue
                queue.remove(request.localId)
                settled += ResolvedPlacement(request.localId, placed)
            }
        }
    }

    override fun cancel(localId: Long) {
        queue.remove(localId)
    }

    override fun localLoads(): ImmutableMap<TargetId, Int> {
        if (service?.engine == null) return persistentMapOf()
        val used = pool.filter { it.ownRuns > 0 }
        return used.associate { it.entry.id to it.ownRuns }.toImmutableMap()
    }

    override fun onPeerLoads(loads: Map<TargetId, Int>, at: Instant) {
        if (service?.engine != null) pool.forEach { it.onOthers(loads[it.entry.id] ?: 0, at) }
    }

    override val waiting: Int get() = queue.size

    override fun inFlight(): InFlightTracker = this

    override fun onResponseHead(localId: Long, load: ReportedLoad?, now: Instant) {
        placements[localId]?.let { targets[it] }?.onResponseHead(localId, load, now)
    }

    override fun onEnded(localId: Long, outcome: AttemptOutcome, now: Instant) {
        copies.remove(localId)?.let { targets[it] }?.remove(localId)
        val target = placements.remove(localId)?.let { targets[it] } ?: return
        target.onEnded(localId, outcome, now)
        val crashed = outcome == AttemptOutcome.BROKEN && service?.engine != null
        if (crashed) target.lengthenPause(now)
        if (crashed || outcome == AttemptOutcome.SILENT || outcome == AttemptOutcome.UNREACHABLE) {
            if (doubt(target, now)) losses.onTargetLost(target.entry)
        }
    }

    override fun onPeerLostTarget(target: TargetId, now: Instant): Boolean =
        targets[target]?.let { doubt(it, now) } == true

    /** Doubts the failure domain of [target]; true when it was trusted before. */
    private fun doubt(target: TargetLoad, now: Instant): Boolean {
        val before = silentDomains.put(target.entry.failureDomain, now)
        return before == null || now - before >= DOMAIN_NEWS
    }

    override fun stats(now: Instant): PoolStats = PoolStats(
        targets = targets.size,
        suspected = targets.values.count { it.paused(now) },
        inFlight = placements.size,
        waiting = queue.size,
    )

    private fun place(request: PlacementRequest, now: Instant): PlacementDecision.Placed? {
        val chosen = choose(request, now) ?: return null
        val mayCopy = request.wantsReplica && service?.engine?.replicatesKvCache == true
        val replicaTarget = if (mayCopy) copyTarget(request, chosen, now) else null
        val tokens = request.promptTokens + request.outputTokens
        placements[request.localId] = chosen.entry.id
        chosen.add(request.localId, FlightLoad(request.promptTokens, tokens, now))
        if (replicaTarget != null) {
            copies[request.localId] = replicaTarget.entry.id
            replicaTarget.add(
                request.localId,
                FlightLoad(promptTokens = 0, tokens, now, copy = true),
            )
        }
        return PlacementDecision.Placed(chosen.entry, replicaTarget?.entry)
    }

    private fun choose(request: PlacementRequest, now: Instant): TargetLoad? {
        val preferred = request.preferredTarget?.let { targets[it] }
        if (preferred != null && !preferred.paused(now)) return preferred
        val sample = sample()
        return chooseFrom(sample, request, now)
            ?: if (sample.size < pool.size) chooseFrom(pool, request, now) else null
    }

    /** All of a small pool, a random part of a large one; both may be searched again as a whole. */
    private fun sample(): List<TargetLoad> =
        if (pool.size <= SAMPLE) pool else List(SAMPLE) { pool[random.nextInt(pool.size)] }

    private fun chooseFrom(
        open: List<TargetLoad>,
        request: PlacementRequest,
        now: Instant,
    ): TargetLoad? {
        val fit =
            open.filter { it.entry.id !in request.avoidedTargets && hasRoom(it, request, now) }
        val calm = fit.filterNot { it.paused(now) || it.isUnconfirmed }
        val last = { fit.filterNot { it.paused(now) }.ifEmpty { lastResort(request) } }
        return pick(calm.ifEmpty(last), now)
    }

    /** Targets that failed this request or do not answer, when the pool has nothing else. */
    private fun lastResort(request: PlacementRequest): List<TargetLoad> =
        if (pool.size <= request.avoidedTargets.size) pool else emptyList()

    /**
     * Another target for the copy, in another failure domain where there is one. A target without
     * room keeps less of the copy, or none, so room counts only by the score.
     */
    private fun copyTarget(request: PlacementRequest, run: TargetLoad, now: Instant): TargetLoad? {
        val open = sample().filter {
            it !== run && it.entry.id !in request.avoidedTargets &&
                !it.isUnconfirmed && !it.paused(now)
        }
        val apart = open.filter { it.entry.failureDomain != run.entry.failureDomain }
        return pick(apart.ifEmpty { open }, now)
    }

    /**
     * One of those with about the best score. Hosts with the same view must not all choose the
     * same target, and a target that nobody has heard of lately must not look empty to all.
     */
    private fun pick(open: List<TargetLoad>, now: Instant): TargetLoad? {
        val usual = usual(open, now)
        val scored = open.map { Scored(it, score(it, usual, now)) }
        val best = scored.minOfOrNull { it.score } ?: return null
        return scored.filter { it.score <= best + NEARLY_BEST }.random(random).target
    }

    private class Scored(val target: TargetLoad, val score: Double)

    /** What is usual among the targets that a decision looks at. */
    private class Usual(val othersLoad: Double, val latency: Double, val failureRate: Double)

    private fun usual(open: List<TargetLoad>, now: Instant): Usual {
        val others = open.mapNotNull { it.reportedOthers(now, fade()) }
        return Usual(
            othersLoad = if (others.isEmpty()) 0.0 else others.average(),
            latency = median(open.map { it.meanLatency }.filter { it > 0.0 }),
            failureRate = median(open.map { it.failureRate }),
        )
    }

    private fun median(figures: List<Double>): Double =
        if (figures.isEmpty()) 0.0 else figures.sorted()[figures.size / 2]

    private fun hasRoom(target: TargetLoad, request: PlacementRequest, now: Instant): Boolean {
        val engine = service?.engine
        val others = target.reportedOthers(now, fade()) ?: 0.0
        if (engine == null) return target.own + others < target.entry.slots * PLAIN_DEPTH
        val tokens = request.promptTokens + request.outputTokens
        val used = target.ownTokens + others * tokens
        val room = engine.kvCacheTokens * options.memoryShare
        return target.own + others < engine.slots && used + tokens <= room
    }

    private fun score(target: TargetLoad, usual: Usual, now: Instant): Double {
        val far = if (target.entry.failureDomain == ownDomain) 0.0 else options.crossDomainScore
        val load = target.ownRuns + target.others(now, fade(), usual.othersLoad)
        val reading = target.unreadTokens / READING_TOKENS
        val excess = (target.failureRate - usual.failureRate).coerceAtLeast(0.0)
        val sick = excess * options.failureScore
        val dark = if (mayBeSilent(target, now)) options.domainScore else 0.0
        return (load + 1) * slowness(target, usual) + reading + far + sick + dark
    }

    /** Targets of one failure domain often fail together, with their rack or their links. */
    private fun mayBeSilent(target: TargetLoad, now: Instant): Boolean {
        val since = silentDomains[target.entry.failureDomain] ?: return false
        return now - since < DOMAIN_DOUBT && target.heardAt <= since
    }

    /** How much longer than usual a target takes; 1 where nothing is known. */
    private fun slowness(target: TargetLoad, usual: Usual): Double {
        if (usual.latency == 0.0 || target.meanLatency == 0.0) return 1.0
        return (target.meanLatency / usual.latency).coerceIn(1.0, MAX_SLOWNESS)
    }

    private fun fade(): Duration = if (service?.engine == null) PLAIN_FADE else ENGINE_FADE

    private fun noTarget() =
        Refusal(ErrorCode.NO_TARGET, "the service has no live target", RETRY_WITHOUT_TARGET)

    private fun overloaded(now: Instant): Refusal {
        val busy = if (service?.engine == null) RETRY_PLAIN else RETRY_ENGINE
        val spread = busy * (1.0 + random.nextDouble())
        val paused = targets.values.count { it.paused(now) }
        return Refusal(
            ErrorCode.OVERLOADED,
            "no room at ${targets.size} targets, $paused of them paused, ${queue.size} wait",
            spread,
        )
    }

    private companion object {
        /** Requests per slot up to which a plain service is sent more. */
        const val PLAIN_DEPTH = 2.0

        /** Targets that a decision looks at; the best of 64 is near the best of any pool. */
        const val SAMPLE = 64

        /** Unread prompt tokens that weigh as much as one running request. */
        const val READING_TOKENS = 2_000.0

        /** Difference of scores that says nothing: half a request. */
        const val NEARLY_BEST = 0.5
        const val MAX_SLOWNESS = 8.0

        /**
         * Time for which one silent target casts doubt on others that were not heard since. A
         * target that is gone stays listed for three of its reports, 3.6 s.
         */
        val DOMAIN_DOUBT = 4.seconds

        /** A further loss in a domain is no news to other hosts within this time. */
        val DOMAIN_NEWS = 1.seconds

        /** Time in which reported load of other hosts fades: about the length of a request. */
        val PLAIN_FADE = 300.milliseconds
        val ENGINE_FADE = 5.seconds

        /** Shortest Retry-After by what the pool is short of; returns spread over twice that. */
        val RETRY_WITHOUT_TARGET = 500.milliseconds
        val RETRY_PLAIN = 80.milliseconds
        val RETRY_ENGINE = 1_500.milliseconds
    }
}
