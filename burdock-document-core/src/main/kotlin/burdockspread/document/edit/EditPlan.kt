/** Planned store writes of an edit. */
package burdockspread.document.edit

import burdockspread.store.ObjectKey
import burdockspread.store.WriteCondition
import kotlinx.collections.immutable.ImmutableList

/**
 * Writes of one edit: first all contents, then the manifest, whose write accepts the edit.
 */
internal data class EditPlan(
    val generation: Long,
    val contents: ImmutableList<PlannedContent>,
    val manifest: String,
    val condition: WriteCondition,
)

/** A section content to be written. */
internal data class PlannedContent(val key: ObjectKey, val value: String)
