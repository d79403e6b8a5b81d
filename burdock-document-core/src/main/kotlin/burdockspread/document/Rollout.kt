/** Which hosts work by an edit and which lag. */
package burdockspread.document

import burdockspread.id.HostId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap

/**
 * Rollout of one version of one section.
 *
 * @property inForce hosts that work by this version or a higher one.
 * @property waiting hosts that hold it, but lack sections that it needs.
 * @property lagging hosts that have not reported it, with the version that they work by.
 * @property unreported hosts of the document that reported nothing.
 */
public data class Rollout(
    public val section: String,
    public val version: Long,
    public val inForce: ImmutableList<HostId>,
    public val waiting: ImmutableList<HostId>,
    public val lagging: ImmutableMap<HostId, Long>,
    public val unreported: ImmutableList<HostId>,
) {
    /** Whether the version is in force on every host of the document. */
    public val isComplete: Boolean
        get() = waiting.isEmpty() && lagging.isEmpty() && unreported.isEmpty()

    public companion object {
        /** Sorts the [hosts] of the document by the versions that they [reported]. */
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
                byState[State.SILENT].orEmpty().toImmutableList(),
            )
        }

        private fun stateOf(versions: SectionVersions?, section: String, version: Long): State =
            when {
                versions == null -> State.SILENT
                (versions.inForce[section] ?: 0) >= version -> State.IN_FORCE
                versions.held(section) >= version -> State.WAITING
                else -> State.LAGGING
            }
    }

    private enum class State { IN_FORCE, WAITING, LAGGING, SILENT }
}
