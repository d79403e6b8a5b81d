/** Desired and observed state of targets. */
package burdockspread.order

import burdockspread.id.ModelId
import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentSetOf

/** Version and adapters of one model at one target. */
public data class ModelSpec(
    public val version: String,
    public val adapters: ImmutableSet<String> = persistentSetOf(),
)

/**
 * Desired state of one target according to the document.
 *
 * @property checksToken whether the target rejects orders with an outdated fencing token.
 */
public data class DesiredTarget(
    public val target: TargetId,
    public val checksToken: Boolean,
    public val models: ImmutableMap<ModelId, ModelSpec>,
    public val role: EngineRole = EngineRole.MIXED,
)

/**
 * State that one target reported.
 *
 * @property loading models that are being loaded, with the version.
 * @property serving whether the target accepts requests.
 */
public data class ObservedTarget(
    public val target: TargetId,
    public val models: ImmutableMap<ModelId, ModelSpec>,
    public val loading: ImmutableMap<ModelId, String>,
    public val role: EngineRole,
    public val serving: Boolean,
)
