/** Selection of the next order for a target. */
package burdockspread.order

import burdockspread.id.ModelId

/** Returns the first order that moves [observed] towards [desired], or null if they match. */
internal fun nextOrder(desired: DesiredTarget, observed: ObservedTarget): Order? =
    roleOrder(desired, observed)
        ?: desired.models.entries
            .sortedBy { it.key.value }
            .firstNotNullOfOrNull { (model, spec) -> modelOrder(model, spec, observed) }
        ?: unloadOrder(desired, observed)

private fun roleOrder(desired: DesiredTarget, observed: ObservedTarget): Order? =
    if (desired.role == observed.role) null else Order.ChangeRole(desired.role)

private fun modelOrder(model: ModelId, spec: ModelSpec, observed: ObservedTarget): Order? {
    val present = observed.models[model]
    return when {
        observed.loading[model] == spec.version -> null
        present?.version != spec.version || model in observed.loading ->
            Order.LoadModel(model, spec.version)
        present.adapters != spec.adapters -> Order.SetAdapters(model, spec.adapters)
        else -> null
    }
}

private fun unloadOrder(desired: DesiredTarget, observed: ObservedTarget): Order? =
    (observed.models.keys + observed.loading.keys)
        .filter { it !in desired.models }
        .minByOrNull { it.value }
        ?.let { Order.UnloadModel(it) }
