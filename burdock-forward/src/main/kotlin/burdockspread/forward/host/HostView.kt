/** Immutable snapshots of what a host knows. */
package burdockspread.forward.host

import burdockspread.forward.catalog.Catalog
import burdockspread.forward.directory.DirectoryView
import burdockspread.forward.rollout.RolloutOrder
import burdockspread.id.ServiceId
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * A snapshot. The control loop replaces it as a whole; the request loop only reads it.
 *
 * @property isConfirmed whether the store or a peer has recently confirmed the configuration.
 * @property rollouts the newest rollout of each service that has one.
 */
public data class HostView(
    public val catalog: Catalog? = null,
    public val directory: DirectoryView = DirectoryView.EMPTY,
    public val isConfirmed: Boolean = false,
    public val rollouts: ImmutableMap<ServiceId, RolloutOrder> = persistentMapOf(),
) {
    /** Highest store version among the rollouts, or 0. */
    public val rolloutsVersion: Long get() = rollouts.values.maxOfOrNull { it.storeVersion } ?: 0

    /** Whether the host can serve requests, if only by some of the targets. */
    public val serving: Boolean
        get() = catalog != null && (directory.version > 0 || directory.services.isNotEmpty())
}
