/** Models in the document. */
package burdockspread.document

import burdockspread.id.ModelId
import kotlinx.collections.immutable.ImmutableList

/**
 * A model.
 *
 * @property version model version for new generations.
 * @property maxTokens maximum number of tokens that a generation may request.
 * @property floorTargets minimum number of targets of this model that a failure domain must keep.
 */
public data class Model(
    public val id: ModelId,
    public val version: String,
    public val adapters: ImmutableList<String>,
    public val maxTokens: Int,
    public val floorTargets: Int,
)
