/** How many orders the floors of the models and the limit of loads still allow. */
package burdockspread.order

import burdockspread.id.ModelId
import burdockspread.id.TargetId

/** Counts down while the orders of one tick are chosen. */
internal class OrderCapacity(
    private val desired: DesiredPlacement,
    private val observed: List<ObservedTarget>,
    private val inFlight: Map<TargetId, Order>,
) {
    private val serving = HashMap<ModelId, Int>()
    private var loads = 0
    private var heldByFloor = 0
    private var heldByLoads = 0

    init {
        observed.forEach { count(it) }
    }

    /** Whether [order] may be sent to the target of [observed] now; if so it is counted. */
    fun take(order: Order, observed: ObservedTarget): Boolean {
        if (order.loads && loads >= desired.maxLoads) {
            heldByLoads++
            return false
        }
        val interrupted = if (observed.serving) interruptedModels(order, observed) else emptySet()
        if (interrupted.any { isAtFloor(it) }) {
            heldByFloor++
            return false
        }
        interrupted.forEach { serving.merge(it, -1, Int::plus) }
        if (order.loads) loads++
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

    private fun count(target: ObservedTarget) {
        val order = inFlight[target.target]
        val loading = target.loading.isNotEmpty()
        if (loading || order?.loads == true) loads++
        val counts = target.serving && !loading && order?.interrupts != true
        if (!counts) return
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
