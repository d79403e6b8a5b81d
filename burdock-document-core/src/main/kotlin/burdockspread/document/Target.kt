/** Targets as the document describes them. */
package burdockspread.document

import burdockspread.id.FailureDomainId
import burdockspread.id.ModelId
import burdockspread.id.ServiceId
import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableList

/**
 * One target: an engine with its models, or a plain service.
 *
 * @property address IP:port of the target's HTTP port.
 * @property models models that an engine serves; empty for a plain service.
 * @property service service that the target offers; null for an engine.
 * @property checksFencing whether the target refuses an order that carries an old fencing token.
 * @property leaving whether the target gets no new work.
 * @property batchSlots number of generations that an engine runs in one batch.
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
