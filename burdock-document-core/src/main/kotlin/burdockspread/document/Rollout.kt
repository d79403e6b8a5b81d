/** Rollout status of an edit across hosts. */
package burdockspread.document

import burdockspread.id.HostId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap

/**
 * Rollout status of one version of one section.
 *
 * @property inForce hosts on which this version or a higher one is active.
 * @property waiting hosts that have it but lack sections that it depends on.
 * @property lagging hosts that have not reported it, with their active version.
 * @property unreported hosts in the document that sent no report.
 */
public data class Rollout(
    public val section: String,
    public val version: Long,
    public val inForce: ImmutableList<HostId>,
    public val waiting: ImmutableList<HostId>,
    public val lagging: ImmutableMap<HostId, Long>,
    public val unreported: ImmutableList<HostId>,
) {
    /** Whether the version is active on every host in the document. */
    public val isComplete: Boolean
        get() = waiting.isEmpty() && lagging.isEmpty() && unreported.isEmpty()

    public companion object {
        /** Groups the [hosts] in the document by the versions that they [reported]. */
        public fun of(
            section: String,
            version: Long,
            hosts: Collection<HostId>,
            reported: Map<HostId, SectionVersions>,
        ): Rollout {
            val byState = hosts.groupBy { host -> stateOf(reported[host], section, version) }
            return Rollout(
                section,
                version,
                byState[State.IN_FORCE].orEmpty().toImmutableList(),
                byState[State.WAITING].orEmpty().toImmutableList(),
                byState[State.LAGGING].orEmpty().associateWith {
                    reported[it]?.inForce?.get(section) ?: 0
                }.toImmutableMap(),
                byState[State.UNREPORTED].orEmpty().toImmutableList(),
            )
        }

        private fun stateOf(versions: SectionVersions?, section: String, version: Long): State =
            when {
                versions == null -> State.UNREPORTED
                (versions.inForce[section] ?: 0) >= version -> State.IN_FORCE
                versions.latest(section) >= version -> State.WAITING
                else -> State.LAGGING
            }
    }

    private enum class State { IN_FORCE, WAITING, LAGGING, UNREPORTED }
}
