/** Remaining capacity for orders under the floors of the models and the load limit. */
package burdockspread.order

import burdockspread.id.ModelId
import burdockspread.id.TargetId

/** Tracks the remaining capacity while the orders of one tick are selected. */
internal class OrderCapacity(
    private val desired: DesiredPlacement,
    private val observed: List<ObservedTarget>,
    private val inFlight: Map<TargetId, Order>,
) {
    private val serving = HashMap<ModelId, Int>()
    private var activeLoads = 0
    private var heldByFloor = 0
    private var heldByLoads = 0

    init {
        observed.forEach { countTarget(it) }
    }

    /** Reserves capacity for [order] to [observed]. Returns false if it may not be sent now. */
    fun tryReserve(order: Order, observed: ObservedTarget): Boolean {
        if (order.loads && activeLoads >= desired.maxLoads) {
            heldByLoads++
            return false
        }
        val interrupted = if (observed.serving) interruptedModels(order, observed) else emptySet()
        if (interrupted.any { isAtFloor(it) }) {
            heldByFloor++
            return false
        }
        interrupted.forEach { serving.merge(it, -1, Int::plus) }
        if (order.loads) activeLoads++
        return true
    }

    fun status(behind: Int): PlacementStatus = PlacementStatus(
        targets = desired.targets.size,
        behind = behind + inFlight.size,
        inFlight = inFlight.size,
        heldByFloor = heldByFloor,
        heldByLoads = heldByLoads,
        unseen = desired.targets.size - observed.size,
    )

    private fun countTarget(target: ObservedTarget) {
        val order = inFlight[target.target]
        val isLoading = target.loading.isNotEmpty()
        if (isLoading || order?.loads == true) activeLoads++
        val isServing = target.serving && !isLoading && order?.interrupts != true
        if (!isServing) return
        target.models.keys.forEach { serving.merge(it, 1, Int::plus) }
    }

    private fun interruptedModels(order: Order, observed: ObservedTarget): Set<ModelId> = when {
        order.interrupts -> observed.models.keys
        order is Order.UnloadModel -> setOf(order.model)
        else -> emptySet()
    }

    private fun isAtFloor(model: ModelId): Boolean =
        (serving[model] ?: 0) <= (desired.floors[model] ?: 0)
}
