/** Least expected load with capacity for request and replica, local failure domain first. */
package burdockspread.forward.load

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.forward.catalog.Service
import burdockspread.forward.directory.ListedTarget
import burdockspread.forward.directory.TargetEntry
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
    private val localDomain: FailureDomainId,
    seed: Long,
    private val lossListener: TargetLossListener,
    private val options: LoadOptions,
    private val prompts: PromptLocations,
    private val versions: VersionGate,
) : LoadPolicy,
    InFlightTracker {
    private val random = Random(seed)
    private val targets = LinkedHashMap<TargetId, TargetLoad>()

    /** The values of [targets], for access by index. */
    private var pool: List<TargetLoad> = emptyList()
    private val placements = HashMap<Long, TargetId>()
    private val replicas = HashMap<Long, TargetId>()
    private val queue = WaitingQueue()
    private val domainLostAt = HashMap<FailureDomainId, Instant>()
    private var service: Service? = null

    override fun onTargets(service: Service, targets: ImmutableList<ListedTarget>, now: Instant) {
        this.service = service
        val ids = targets.map { it.entry.id }.toSet()
        this.targets.keys.retainAll(ids)
        targets.forEach { listed ->
            this.targets.getOrPut(listed.entry.id) { TargetLoad(listed, now) }.onListed(listed, now)
        }
        pool = this.targets.values.toList()
        versions.onTargets(targets.map { it.entry })
    }

    override fun submit(request: PlacementRequest, now: Instant): PlacementDecision {
        if (!request.isResume && !request.isTrial && versions.isTrial(request, now)) {
            return submit(request.copy(isTrial = true), now)
        }
        if (queue.canOvertake(request)) place(request, now)?.let { return it }
        if (targets.isEmpty() && !request.isResume) return PlacementDecision.Refused(noTarget())
        if (request.supersedes != null && targets.keys.all { it in request.avoidedTargets }) {
            return PlacementDecision.Refused(noTarget())
        }
        closedRefusal(request, now)?.let { return PlacementDecision.Refused(it) }
        if (now >= request.waitUntil) return PlacementDecision.Refused(overloaded(now))
        if (queue.size >= options.maxQueueLength) return PlacementDecision.Refused(overloaded(now))
        queue.add(request)
        return PlacementDecision.Waiting
    }

    override fun poll(now: Instant): ImmutableList<ResolvedPlacement> {
        if (queue.size == 0) return persistentListOf()
        return persistentListOf<ResolvedPlacement>().mutate { resolved ->
            queue.expired(now).forEach {
                resolved +=
                    ResolvedPlacement(it.localId, PlacementDecision.Refused(overloaded(now)))
            }
            for (request in queue.inOrder()) {
                val placed = place(request, now) ?: continue
                queue.remove(request.localId)
                resolved += ResolvedPlacement(request.localId, placed)
            }
        }
    }

    override fun cancel(localId: Long) {
        queue.remove(localId)
    }

    override fun localLoads(): ImmutableMap<TargetId, HostLoad> {
        if (service?.engine == null) return persistentMapOf()
        val used = pool.filter { it.localRequests > 0 }
        return used.associate { it.entry.id to HostLoad(it.localRequests, it.pendingPrefillTokens) }
            .toImmutableMap()
    }

    override fun onPeerLoads(loads: Map<TargetId, HostLoad>, at: Instant) {
        if (service?.engine == null) return
        pool.forEach { it.onPeerLoad(loads[it.entry.id] ?: HostLoad(0), at) }
    }

    override fun onNotice(target: TargetEntry, notice: TargetNotice, now: Instant) {
        val known = targets[target.id] ?: return
        if (known.entry.isSameIncarnation(target)) known.onNotice(notice, now)
    }

    override val waiting: Int get() = queue.size

    override fun inFlight(): InFlightTracker = this

    override fun onResponseHead(localId: Long, load: ReportedLoad?, now: Instant) {
        placements[localId]?.let { targets[it] }?.onResponseHead(localId, load, now)
        versions.onResponseHead(localId, now)
    }

    override fun onEnded(localId: Long, outcome: AttemptOutcome, now: Instant) {
        versions.onEnded(localId, outcome, now)
        replicas.remove(localId)?.let { targets[it] }?.remove(localId)
        val target = placements.remove(localId)?.let { targets[it] } ?: return
        target.onEnded(localId, outcome, now)
        val crashed = outcome == AttemptOutcome.BROKEN && service?.engine != null
        if (crashed) target.eject(now)
        if (crashed || outcome == AttemptOutcome.SILENT || outcome == AttemptOutcome.UNREACHABLE) {
            if (suspectDomain(target, now)) lossListener.onTargetLost(target.entry)
        }
    }

    override fun onPeerLostTarget(target: TargetId, now: Instant): Boolean =
        targets[target]?.let { suspectDomain(it, now) } == true

    /** Suspects the failure domain of [target]; returns true if it was not suspected before. */
    private fun suspectDomain(target: TargetLoad, now: Instant): Boolean {
        val before = domainLostAt.put(target.entry.failureDomain, now)
        return before == null || now - before >= DOMAIN_LOSS_REPORT_INTERVAL
    }

    override fun stats(now: Instant): PoolStats = PoolStats(
        targets = targets.size,
        ejected = targets.values.count { it.isEjected(now) },
        inFlight = placements.size,
        waiting = queue.size,
    )

    private fun place(request: PlacementRequest, now: Instant): PlacementDecision.Placed? {
        val chosen = choose(request, now) ?: return null
        request.supersedes?.let { onEnded(request.localId, it, now) }
        val mayReplicate = request.wantsReplica && service?.engine?.replicatesKvCache == true
        val replicaTarget = if (mayReplicate) selectReplicaTarget(request, chosen, now) else null
        val totalTokens = request.promptTokens + request.outputTokens
        placements[request.localId] = chosen.entry.id
        val unread = if (chosen === locate(request, now)) 0 else request.promptTokens
        chosen.add(request.localId, RequestLoad(unread, totalTokens, now))
        request.prompt?.let { prompts.onSent(it, chosen.entry.id, now) }
        versions.onSent(request, chosen.entry, now)
        if (replicaTarget != null) {
            replicas[request.localId] = replicaTarget.entry.id
            replicaTarget.add(
                request.localId,
                RequestLoad(promptTokens = 0, totalTokens, now, isReplica = true),
            )
        }
        return PlacementDecision.Placed(chosen.entry, replicaTarget?.entry)
    }

    private fun choose(request: PlacementRequest, now: Instant): TargetLoad? {
        val preferred = request.preferredTarget?.let { targets[it] }
        if (preferred != null && preferred.isSound(now) && versions.allows(preferred, request)) {
            return preferred
        }
        val reader = locate(request, now)
        val sample = sample().let { if (reader == null || reader in it) it else it + reader }
        return chooseFrom(sample, request, reader, now)
            ?: if (sample.size < pool.size) chooseFrom(pool, request, reader, now) else null
    }

    /**
     * Returns the whole of a small pool or a random sample of a large one. If the sample has no
     * capacity, [choose] searches the whole pool.
     */
    private fun sample(): List<TargetLoad> =
        if (pool.size <= SAMPLE) pool else List(SAMPLE) { pool[random.nextInt(pool.size)] }

    private fun chooseFrom(
        open: List<TargetLoad>,
        request: PlacementRequest,
        reader: TargetLoad?,
        now: Instant,
    ): TargetLoad? {
        val eligible = versions.preferred(open, request) {
            it.entry.id !in request.avoidedTargets && hasCapacity(it, request, now)
        }
        val healthy = eligible.filter { it.isSound(now) }
        val fallback =
            { eligible.filterNot { it.isEjected(now) }.ifEmpty { lastResort(request, now) } }
        return pickBest(healthy.ifEmpty(fallback), now) { target ->
            if (target === reader) request.promptTokens / PREFILL_TOKENS_PER_REQUEST else 0.0
        }
    }

    /** Returns the target that has read the request's prompt, if it still caches it. */
    private fun locate(request: PlacementRequest, now: Instant): TargetLoad? {
        val location = request.prompt?.let { prompts.find(it, now) } ?: return null
        return targets[location.target]?.takeIf { location.at >= it.knownSince }
    }

    /** Targets that already failed this request or are ejected, if the pool has no others. */
    private fun lastResort(request: PlacementRequest, now: Instant): List<TargetLoad> {
        val open =
            pool.filter { !it.isGone(now) && it.isOpen(now) && versions.allows(it, request) }
        val hasOthers = open.any { it.entry.id !in request.avoidedTargets }
        return if (request.supersedes != null || hasOthers) emptyList() else open
    }

    /**
     * Selects a target for the replica, in another failure domain if possible. A target without
     * capacity keeps a part of the replica or none, so capacity only influences the score.
     */
    private fun selectReplicaTarget(
        request: PlacementRequest,
        primary: TargetLoad,
        now: Instant,
    ): TargetLoad? {
        // A trial that fails goes on at the old version.
        val next = request.copy(isTrial = false)
        val open = versions.preferred(sample(), next) {
            it !== primary &&
                it.entry.id !in request.avoidedTargets &&
                it.isSound(now)
        }
        val otherDomains = open.filter { it.entry.failureDomain != primary.entry.failureDomain }
        return pickBest(otherDomains.ifEmpty { open }, now)
    }

    /**
     * Selects a random target among those whose score is close to the best. Hosts with the same
     * view must not all select the same target, and a target without recent reports must not look
     * idle to all of them. [advantage] is the load that a target need not bear for the request.
     */
    private fun pickBest(
        open: List<TargetLoad>,
        now: Instant,
        advantage: (TargetLoad) -> Double = { 0.0 },
    ): TargetLoad? {
        val baseline = baseline(open, now)
        val scored = open.map { Scored(it, score(it, baseline, now) - advantage(it)) }
        val best = scored.minOfOrNull { it.score } ?: return null
        return scored.filter { it.score <= best + SCORE_TOLERANCE }.random(random).target
    }

    private class Scored(val target: TargetLoad, val score: Double)

    /** Typical values among the candidates of one decision. */
    private class PoolBaseline(
        val meanRemoteLoad: Double,
        val latency: Double,
        val failureRate: Double,
    )

    private fun baseline(open: List<TargetLoad>, now: Instant): PoolBaseline {
        val reports = open.mapNotNull { it.reportedRemoteLoad(now, decayTime()) }
        return PoolBaseline(
            meanRemoteLoad = if (reports.isEmpty()) 0.0 else reports.average(),
            latency = median(open.map { it.meanLatency }.filter { it > 0.0 }),
            failureRate = median(open.map { it.failureRate }),
        )
    }

    private fun hasCapacity(target: TargetLoad, request: PlacementRequest, now: Instant): Boolean {
        if (target.isGone(now) || !target.isOpen(now)) return false
        val engine = service?.engine
        val remote = target.reportedRemoteLoad(now, decayTime()) ?: 0.0
        if (engine == null) return target.localLoad + remote < target.entry.slots * MAX_SLOT_LOAD
        val totalTokens = request.promptTokens + request.outputTokens
        val used = target.localTokens + remote * totalTokens
        val capacity = engine.kvCacheTokens * options.kvCacheFraction
        return target.localLoad + remote < engine.slots && used + totalTokens <= capacity
    }

    private fun score(target: TargetLoad, baseline: PoolBaseline, now: Instant): Double {
        val egress = if (target.entry.failureDomain == localDomain) 0.0 else options.egressPenalty
        val load =
            target.localRequests + target.remoteLoad(now, decayTime(), baseline.meanRemoteLoad)
        val unread = target.pendingPrefillTokens + target.remoteUnreadTokens(now)
        val prefillLoad = unread / PREFILL_TOKENS_PER_REQUEST
        val excessFailureRate = (target.failureRate - baseline.failureRate).coerceAtLeast(0.0)
        val errorPenalty = excessFailureRate * options.failurePenalty
        val domainPenalty = if (isDomainSuspect(target, now)) options.suspectDomainPenalty else 0.0
        return (load + 1) * latencyRatio(target, baseline) + prefillLoad + egress + errorPenalty +
            domainPenalty
    }

    /** Targets of a failure domain often fail together, because they share racks or links. */
    private fun isDomainSuspect(target: TargetLoad, now: Instant): Boolean {
        val since = domainLostAt[target.entry.failureDomain] ?: return false
        return now - since < DOMAIN_SUSPICION_TIME && target.lastResponseAt <= since
    }

    /** Ratio of the target's latency to the pool's median, or 1 if unknown. */
    private fun latencyRatio(target: TargetLoad, baseline: PoolBaseline): Double {
        if (baseline.latency == 0.0 || target.meanLatency == 0.0) return 1.0
        return (target.meanLatency / baseline.latency).coerceIn(1.0, MAX_LATENCY_RATIO)
    }

    private fun decayTime(): Duration = if (service?.engine == null) PLAIN_DECAY else ENGINE_DECAY

    /** Returns the refusal of a request for which all targets stay closed while it may wait. */
    private fun closedRefusal(request: PlacementRequest, now: Instant): Refusal? {
        if (pool.isEmpty()) return null
        val remaining = pool.filterNot { it.isLeaving }
        if (remaining.isEmpty()) return if (request.isResume) null else noTarget()
        val pause = remaining.minOf { it.pause(now) }
        if (pause == Duration.ZERO || now + pause < request.waitUntil) return null
        return Refusal(
            ErrorCode.OVERLOADED,
            "all ${remaining.size} targets asked for no requests",
            pause,
        )
    }

    private fun overloaded(now: Instant): Refusal {
        val baseRetryAfter = if (service?.engine == null) RETRY_AFTER_PLAIN else RETRY_AFTER_ENGINE
        val jitteredRetryAfter = baseRetryAfter * (1.0 + random.nextDouble())
        val ejectedCount = targets.values.count { it.isEjected(now) }
        return Refusal(
            ErrorCode.OVERLOADED,
            "no room at ${targets.size} targets, $ejectedCount of them paused, ${queue.size} wait",
            jitteredRetryAfter,
        )
    }

    private companion object {
        /** Number of requests per slot up to which a plain service receives more. */
        const val MAX_SLOT_LOAD = 2.0

        /** Number of candidates per decision; the best of 64 is close to the best of any pool. */
        const val SAMPLE = 64

        /** Prompt tokens awaiting prefill that weigh as much as one running request. */
        const val PREFILL_TOKENS_PER_REQUEST = 2_000.0

        /** Score difference that is treated as equal: half a request. */
        const val SCORE_TOLERANCE = 0.5
        const val MAX_LATENCY_RATIO = 8.0

        /**
         * Time for which a lost target makes others suspect that have not responded since. A target
         * that is gone stays listed for three of its report intervals, 3.6 s.
         */
        val DOMAIN_SUSPICION_TIME = 4.seconds

        /** Further losses in a domain within this time are not reported to other hosts. */
        val DOMAIN_LOSS_REPORT_INTERVAL = 1.seconds

        /** Decay time of the reported load of other hosts: about the duration of a request. */
        val PLAIN_DECAY = 300.milliseconds
        val ENGINE_DECAY = 5.seconds

        /** Minimum Retry-After by the missing resource; jitter extends it up to twice that. */
        val RETRY_AFTER_PLAIN = 80.milliseconds
        val RETRY_AFTER_ENGINE = 1_500.milliseconds
    }
}

private fun median(samples: List<Double>): Double =
    if (samples.isEmpty()) 0.0 else samples.sorted()[samples.size / 2]

private fun noTarget() =
    Refusal(ErrorCode.NO_TARGET, "the service has no live target", RETRY_AFTER_NO_TARGET)

private val RETRY_AFTER_NO_TARGET = 500.milliseconds
