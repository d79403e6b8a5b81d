/** Targets grouped by what they serve. */
package burdockspread.document

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/** The targets of each model and of each service. */
internal class TargetGroups private constructor(
    val byModel: Map<String, ImmutableList<Target>>,
    val byService: Map<String, ImmutableList<Target>>,
) {
    companion object {
        val EMPTY = TargetGroups(emptyMap(), emptyMap())

        fun of(domains: Collection<FailureDomain>): TargetGroups {
            val byModel = HashMap<String, MutableList<Target>>()
            val byService = HashMap<String, MutableList<Target>>()
            for (domain in domains.sortedBy { it.id.value }) {
                for (target in domain.targets) {
                    target.models.forEach { byModel.getOrPut(it.value) { ArrayList() } += target }
                    target.service?.let { byService.getOrPut(it.value) { ArrayList() } += target }
                }
            }
            return TargetGroups(
                byModel.mapValues { it.value.toImmutableList() },
                byService.mapValues { it.value.toImmutableList() },
            )
        }
    }
}
