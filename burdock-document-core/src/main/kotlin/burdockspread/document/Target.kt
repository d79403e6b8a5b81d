/** Targets in the document. */
package burdockspread.document

import burdockspread.id.FailureDomainId
import burdockspread.id.ModelId
import burdockspread.id.ServiceId
import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableList

/**
 * A target: a back end that is either an engine with its models or an instance of a service.
 *
 * @property address IP:port of the HTTP server of the target.
 * @property models models that an engine serves; empty for a service instance.
 * @property service service that the target provides; null for an engine.
 * @property checksFencing whether the target rejects orders with an outdated fencing token.
 * @property leaving whether the target is being drained and gets no new requests.
 * @property batchSlots maximum number of generations in the batch of an engine; 0 for a service
 * instance.
 */
public data class Target(
    public val id: TargetId,
    public val failureDomain: FailureDomainId,
    public val address: String,
    public val models: ImmutableList<ModelId>,
    public val service: ServiceId?,
    public val checksFencing: Boolean,
    public val leaving: Boolean,
    public val batchSlots: Int,
)
