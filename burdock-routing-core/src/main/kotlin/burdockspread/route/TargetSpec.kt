/** Description of a target, from the document and the membership view. */
package burdockspread.route

import burdockspread.id.FailureDomainId
import burdockspread.id.ModelId
import burdockspread.id.ServiceId
import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentSetOf

/** A target that accepts new requests. Leaving and dead targets are not part of a pool. */
public data class TargetSpec(
    public val id: TargetId,
    public val failureDomain: FailureDomainId,
    /** Number of generations or calls that the target runs concurrently. */
    public val batchSlots: Int,
    /** Loaded version of the model; empty for a plain service. */
    public val version: String = "",
    /** Loaded adapters. */
    public val adapters: ImmutableSet<String> = persistentSetOf(),
)

/** Model or service that a pool of targets serves. */
public sealed interface PoolKey {
    /** Engines of one model. */
    public data class Model(public val model: ModelId) : PoolKey

    /** Targets of one plain service. */
    public data class Service(public val service: ServiceId) : PoolKey
}
