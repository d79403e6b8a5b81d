/** Placement of models on the engines of one failure domain. */
package burdockspread.steward

import burdockspread.document.DocumentView
import burdockspread.document.Target
import burdockspread.id.FailureDomainId
import burdockspread.id.ModelId
import burdockspread.id.TargetId
import burdockspread.order.DesiredPlacement
import burdockspread.order.DesiredTarget
import burdockspread.order.EngineRole
import burdockspread.order.ModelLoadQuota
import burdockspread.order.ModelSpec
import burdockspread.order.ObservedTarget
import burdockspread.order.Order
import burdockspread.order.OrderEffect
import burdockspread.order.OrderResult
import burdockspread.order.PlacementReconciler
import burdockspread.order.PlacementSettings
import burdockspread.order.PlacementStatus
import burdockspread.target.order.OrderCall
import burdockspread.target.order.OrderClient
import burdockspread.target.order.OrderOutcome
import burdockspread.time.TimeSource
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.collections.immutable.toImmutableSet
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlin.time.Duration.Companion.seconds

/** Drives a [PlacementReconciler] on [thread], which sends orders only while [duty] is held. */
internal class PlacementRunner(
    private val scope: CoroutineScope,
    private val thread: CoroutineDispatcher,
    private val domain: FailureDomainId,
    private val document: () -> DocumentView,
    private val duty: DutyRunner,
    private val client: OrderClient,
    private val time: TimeSource,
) {
    private val placement = PlacementReconciler.factory.create(PlacementSettings())

    /** Progress towards the placement that the document specifies. */
    val status: PlacementStatus get() = placement.status

    /** Reconciles the engines with the document until cancelled. */
    suspend fun run() {
        while (true) {
            withContext(thread) {
                placement.onDesired(desired(document()))
                perform(placement.tick(duty.held(), time.now()))
            }
            delay(TICK_INTERVAL)
        }
    }

    private fun perform(effects: List<OrderEffect>) {
        effects.forEach { effect ->
            when (effect) {
                is OrderEffect.Send -> scope.launch(thread) { send(effect) }
                is OrderEffect.ReadBack -> scope.launch(thread) { readBack(effect.target) }
                is OrderEffect.Superseded -> Unit
            }
        }
    }

    private suspend fun send(effect: OrderEffect.Send) {
        val address = document().target(effect.target)?.address ?: return
        if (time.now() >= effect.sendBefore) return
        val outcome = client.send(OrderCall(address, effect.token, desiredJson(effect.order)))
        val result =
            when (outcome) {
                is OrderOutcome.Accepted -> OrderResult.ACCEPTED
                is OrderOutcome.Fenced -> OrderResult.FENCED
                is OrderOutcome.Failed -> OrderResult.FAILED
                is OrderOutcome.Unknown -> OrderResult.UNKNOWN
            }
        perform(placement.onResult(effect.target, effect.token, result, time.now()))
    }

    private suspend fun readBack(target: TargetId) {
        val address = document().target(target)?.address ?: return
        val requestedAt = time.now()
        val state = client.state(address) ?: return
        val models = state.models.entries.associate { ModelId(it.key) to ModelSpec(it.value) }
        val observed =
            ObservedTarget(
                target,
                models.toImmutableMap(),
                persistentMapOf(),
                EngineRole.MIXED,
                serving = true,
            )
        placement.onObserved(observed, requestedAt)
    }

    private fun desired(document: DocumentView): DesiredPlacement {
        val engines = document.failureDomain(domain)?.targets.orEmpty().filter {
            it.service == null
        }
        val floors = document.models.associate { it.id to it.floorTargets }
        val targetCounts = document.failureDomains.associate { it.id to it.targets.size }
        val loadQuota = ModelLoadQuota(MAX_CONCURRENT_LOADS, targetCounts.toImmutableMap())
        return DesiredPlacement(
            engines.map { desired(it, document) }.toImmutableList(),
            floors.toImmutableMap(),
            loadQuota.quota(domain, time.now()),
        )
    }

    private fun desired(target: Target, document: DocumentView): DesiredTarget {
        val models = target.models.mapNotNull { document.model(it) }.associate {
            it.id to ModelSpec(it.version, it.adapters.toImmutableSet())
        }
        return DesiredTarget(target.id, target.checksFencing, models.toImmutableMap())
    }

    private fun desiredJson(order: Order): String = buildJsonObject {
        when (order) {
            is Order.LoadModel -> {
                put("load", order.model.value)
                put("version", order.version)
            }
            is Order.UnloadModel -> put("unload", order.model.value)
            is Order.SetAdapters -> {
                put("adapters_of", order.model.value)
                put("adapters", buildJsonArray { order.adapters.forEach { add(it) } })
            }
            is Order.ChangeRole -> put("role", order.role.name)
        }
    }.toString()

    private companion object {
        /** Concurrent model loads that the weight store sustains over all failure domains. */
        const val MAX_CONCURRENT_LOADS = 64
        val TICK_INTERVAL = 1.seconds
    }
}
