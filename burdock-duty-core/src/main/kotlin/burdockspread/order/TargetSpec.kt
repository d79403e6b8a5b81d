/** What targets are to serve and what they were seen to serve. */
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
 * What the document wants of one target.
 *
 * @property checksToken whether the target refuses orders that carry an old fencing token.
 */
public data class DesiredTarget(
    public val target: TargetId,
    public val checksToken: Boolean,
    public val models: ImmutableMap<ModelId, ModelSpec>,
    public val role: EngineRole = EngineRole.MIXED,
)

/**
 * What one target reported of itself.
 *
 * @property loading models that it is loading now, with the version being loaded.
 * @property serving whether it takes work.
 */
public data class ObservedTarget(
    public val target: TargetId,
    public val models: ImmutableMap<ModelId, ModelSpec>,
    public val loading: ImmutableMap<ModelId, String>,
    public val role: EngineRole,
    public val serving: Boolean,
)
