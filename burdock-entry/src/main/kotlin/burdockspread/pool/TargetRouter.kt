/** Routing of requests to targets. */
package burdockspread.pool

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import burdockspread.admission.Admission
import burdockspread.admission.AdmissionDecision
import burdockspread.admission.AdmissionEffect
import burdockspread.admission.QueuedRequest
import burdockspread.document.DocumentView
import burdockspread.document.Target
import burdockspread.error.Refusal
import burdockspread.health.TargetSample
import burdockspread.id.FailureDomainId
import burdockspread.id.ModelId
import burdockspread.id.ServiceId
import burdockspread.id.TargetId
import burdockspread.retry.RetryBudget
import burdockspread.route.Choice
import burdockspread.route.InFlightRequest
import burdockspread.route.PoolKey
import burdockspread.route.RouteRequest
import burdockspread.route.TargetChooser
import burdockspread.route.TargetPool
import burdockspread.route.TargetRegistry
import burdockspread.route.TargetSpec
import burdockspread.time.TimeSource
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.coroutines.CompletableDeferred
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Instant

/** Selected target and the in-flight record of the request. */
public data class Route(public val target: Target, public val inFlightRequest: InFlightRequest)

/** Filter for the targets that accept new work. */
public fun interface TargetFilter {
    /** Returns whether [target] accepts new work. */
    public fun acceptsWork(target: Target): Boolean
}

/**
 * Router over pools of targets. The pools are an immutable snapshot in an atomic reference, which
 * [rebuild] replaces when the document or the membership changes.
 */
public class TargetRouter(
    ownDomain: FailureDomainId,
    seed: Long,
    private val filter: TargetFilter,
) {
    private class Pools(val document: DocumentView, val byKey: PersistentMap<PoolKey, TargetPool>)

    private val registry = TargetRegistry()

    /** Load balancer, which also accepts load reports and weights. */
    public val chooser: TargetChooser = TargetChooser(ownDomain, registry, seed)
    private val pools = AtomicReference(Pools(DocumentView.EMPTY, persistentMapOf()))
    private val admission = Admission(chooser)
    private val pendingAdmissions =
        ConcurrentHashMap<QueuedRequest, CompletableDeferred<Either<Refusal, Choice>>>()
    private val budgets = ConcurrentHashMap<PoolKey, RetryBudget>()

    /** Rebuilds the pools from [document] and the filter. */
    public fun rebuild(document: DocumentView) {
        val available = document.targets.filter { !it.leaving && filter.acceptsWork(it) }
        val members = HashMap<PoolKey, MutableList<TargetSpec>>()
        available.forEach { target ->
            keysOf(target).forEach { key ->
                members.getOrPut(key) { mutableListOf() } += spec(target, key, document)
            }
        }
        val byKey = members.mapValues { (key, specs) -> registry.pool(key, specs) }
        registry.retain(document.targets.mapTo(HashSet()) { it.id })
        pools.set(Pools(document, byKey.toPersistentMap()))
    }

    /**
     * Selects a target from the pool [key] for [request] and records the request as sent. Falls
     * back to avoided targets when no other target is available.
     */
    public fun route(key: PoolKey, request: RouteRequest, now: Instant): Either<Refusal, Route> {
        val snapshot = pools.get()
        val pool = snapshot.pool(key)
        val choice = chooser.choose(request, pool, now)
        val choiceOrFallback =
            if (choice.isLeft() && request.excludedTargets.isNotEmpty()) {
                chooser.choose(request.copy(excludedTargets = persistentSetOf()), pool, now)
            } else {
                choice
            }
        return choiceOrFallback.map { recordSent(snapshot, request, it, now) }
    }

    /**
     * Admits [request] at once, queues it until it is admitted, or rejects it. A rejected request
     * has not been sent to any target.
     */
    public suspend fun admit(
        key: PoolKey,
        request: RouteRequest,
        time: TimeSource,
    ): Either<Refusal, Route> {
        val snapshot = pools.get()
        val decision = admission.admit(request, snapshot.pool(key), time.now())
        val choice =
            when (decision) {
                is AdmissionDecision.Run -> decision.choice.right()
                is AdmissionDecision.Refuse -> decision.refusal.left()
                is AdmissionDecision.Wait -> awaitAdmission(decision.queued)
            }
        return choice.map { recordSent(pools.get(), request, it, time.now()) }
    }

    /** Admits queued requests that now fit. Must be called every few tens of milliseconds. */
    public fun advance(now: Instant) {
        if (pendingAdmissions.isEmpty()) return
        pools.get().byKey.values.filter { admission.waiting(it) > 0 }.forEach { pool ->
            admission.onSlotFreed(pool, now).forEach(::completeAdmission)
        }
    }

    private suspend fun awaitAdmission(queued: QueuedRequest): Either<Refusal, Choice> = try {
        pendingAdmission(queued).await()
    } finally {
        pendingAdmissions.remove(queued)
        admission.cancel(queued)
    }

    private fun completeAdmission(effect: AdmissionEffect) {
        val result =
            when (effect) {
                is AdmissionEffect.Run -> effect.choice.right()
                is AdmissionEffect.Refuse -> effect.refusal.left()
            }
        pendingAdmission(effect.queued).complete(result)
    }

    /** Creates the entry on first use, since a decision may arrive before its request waits. */
    private fun pendingAdmission(
        queued: QueuedRequest,
    ): CompletableDeferred<Either<Refusal, Choice>> =
        pendingAdmissions.computeIfAbsent(queued) { CompletableDeferred() }

    private fun recordSent(
        snapshot: Pools,
        request: RouteRequest,
        choice: Choice,
        now: Instant,
    ): Route {
        val target = checkNotNull(snapshot.document.target(choice.target.id))
        return Route(target, chooser.onSent(request, choice, now))
    }

    private fun Pools.pool(key: PoolKey): TargetPool = byKey[key] ?: registry.pool(key, emptyList())

    /** Returns the retry budget of the pool [key]. */
    public fun budget(key: PoolKey): RetryBudget = budgets.computeIfAbsent(key) { RetryBudget() }

    /** Returns the number of this host's requests in flight at [target]. */
    public fun inFlight(target: TargetId): Int = registry.inFlight(target)

    /** Returns and resets the samples collected for each target since the last call. */
    public fun takeSamples(): List<TargetSample> = registry.takeSamples()

    /** Returns the sizes of the pools by name, for the state dump. */
    public fun sizes(): Map<String, Int> =
        pools.get().byKey.entries.associate { (key, pool) -> nameOf(key) to pool.size }

    private fun keysOf(target: Target): List<PoolKey> =
        target.models.map { PoolKey.Model(it) } + listOfNotNull(target.service?.let(::serviceKey))

    private fun serviceKey(service: ServiceId): PoolKey = PoolKey.Service(service)

    private fun spec(target: Target, key: PoolKey, document: DocumentView): TargetSpec {
        val version = (key as? PoolKey.Model)?.let { document.model(it.model)?.version }.orEmpty()
        return TargetSpec(target.id, target.failureDomain, maxOf(target.batchSlots, 1), version)
    }

    private fun nameOf(key: PoolKey): String = when (key) {
        is PoolKey.Model -> "model:${key.model}"
        is PoolKey.Service -> "service:${key.service}"
    }
}

/** Returns the key of the pool of engines that serve [model]. */
public fun poolOf(model: ModelId): PoolKey = PoolKey.Model(model)
