/** Models as the document describes them. */
package burdockspread.document

import burdockspread.id.ModelId
import kotlinx.collections.immutable.ImmutableList

/**
 * One model.
 *
 * @property version version that new generations run on.
 * @property maxTokens largest number of tokens that one generation may ask for.
 * @property floorTargets smallest number of its targets that a failure domain needs to keep.
 */
public data class Model(
    public val id: ModelId,
    public val version: String,
    public val adapters: ImmutableList<String>,
    public val maxTokens: Int,
    public val floorTargets: Int,
)
