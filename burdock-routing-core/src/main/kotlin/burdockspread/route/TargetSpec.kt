/** What the document and the membership view say about one target. */
package burdockspread.route

import burdockspread.id.FailureDomainId
import burdockspread.id.ModelId
import burdockspread.id.ServiceId
import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentSetOf

/** A target that takes new work. Leaving and dead targets are not part of a pool. */
public data class TargetSpec(
    public val id: TargetId,
    public val failureDomain: FailureDomainId,
    /** Number of generations or calls that the target runs at a time. */
    public val batchSlots: Int,
    /** Version of the model that is loaded; empty for a plain service. */
    public val version: String = "",
    /** Adapters that are loaded. */
    public val adapters: ImmutableSet<String> = persistentSetOf(),
)

/** What a pool of targets serves. */
public sealed interface PoolKey {
    /** Engines of one model. */
    public data class Model(public val model: ModelId) : PoolKey

    /** Back ends of one plain service. */
    public data class Service(public val service: ServiceId) : PoolKey
}
