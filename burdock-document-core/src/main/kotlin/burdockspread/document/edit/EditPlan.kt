/** What an edit writes to the store. */
package burdockspread.document.edit

import burdockspread.store.ObjectKey
import burdockspread.store.WriteCondition
import kotlinx.collections.immutable.ImmutableList

/**
 * The writes of one edit. First all contents, then the manifest: that write alone accepts the edit.
 */
internal data class EditPlan(
    val generation: Long,
    val contents: ImmutableList<PlannedContent>,
    val manifest: String,
    val condition: WriteCondition,
)

/** One content that an edit writes. */
internal data class PlannedContent(val key: ObjectKey, val value: String)
