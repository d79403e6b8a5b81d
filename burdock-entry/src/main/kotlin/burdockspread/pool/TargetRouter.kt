/** Chooses targets from the pools that the document and the membership give. */
package burdockspread.pool

import arrow.core.Either
import burdockspread.document.DocumentView
import burdockspread.document.Target
import burdockspread.error.Refusal
import burdockspread.id.FailureDomainId
import burdockspread.id.ModelId
import burdockspread.id.ServiceId
import burdockspread.id.TargetId
import burdockspread.retry.RetryBudget
import burdockspread.route.Flight
import burdockspread.route.PoolKey
import burdockspread.route.RouteRequest
import burdockspread.route.TargetChooser
import burdockspread.route.TargetPool
import burdockspread.route.TargetRegistry
import burdockspread.route.TargetSpec
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Instant

/** A chosen target and the record of the request on its way there. */
public data class Route(public val target: Target, public val flight: Flight)

/** Tells which targets of the document take new work. */
public fun interface TargetFilter {
    /** Whether [target] takes new work. */
    public fun takesWork(target: Target): Boolean
}

/**
 * Holds a snapshot of the pools in an atomic reference; [rebuild] replaces it when the document or
 * the membership changes.
 */
public class TargetRouter(
    ownDomain: FailureDomainId,
    seed: Long,
    private val filter: TargetFilter,
) {
    private class Pools(val document: DocumentView, val byKey: PersistentMap<PoolKey, TargetPool>)

    private val registry = TargetRegistry()

    /** The chooser, which also takes load reports and weights. */
    public val chooser: TargetChooser = TargetChooser(ownDomain, registry, seed)
    private val pools = AtomicReference(Pools(DocumentView.EMPTY, persistentMapOf()))
    private val budgets = ConcurrentHashMap<PoolKey, RetryBudget>()

    /** Builds the pools anew from [document] and the filter. */
    public fun rebuild(document: DocumentView) {
        val working = document.targets.filter { !it.leaving && filter.takesWork(it) }
        val members = HashMap<PoolKey, MutableList<TargetSpec>>()
        working.forEach { target ->
            keysOf(target).forEach { key ->
                members.getOrPut(key) { mutableListOf() } += spec(target, key, document)
            }
        }
        val byKey = members.mapValues { (key, specs) -> registry.pool(key, specs) }
        registry.retain(document.targets.mapTo(HashSet()) { it.id })
        pools.set(Pools(document, byKey.toPersistentMap()))
    }

    /** Chooses a target of [key] for [request] and records the request as sent. */
    public fun route(key: PoolKey, request: RouteRequest, now: Instant): Either<Refusal, Route> {
        val snapshot = pools.get()
        val pool = snapshot.byKey[key] ?: registry.pool(key, emptyList())
        return chooser.choose(request, pool, now).map { choice ->
            val target = checkNotNull(snapshot.document.target(choice.target.id))
            Route(target, chooser.onSent(request, choice, now))
        }
    }

    /** The retry budget of the pool [key]. */
    public fun budget(key: PoolKey): RetryBudget = budgets.computeIfAbsent(key) { RetryBudget() }

    /** Own requests in flight at [target]. */
    public fun inFlight(target: TargetId): Int = registry.inFlight(target)

    /** Sizes of the pools, for the state dump. */
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

/** Pool of the engines of [model]. */
public fun poolOf(model: ModelId): PoolKey = PoolKey.Model(model)
