/** Edits of the document. */
package burdockspread.document.edit

import burdockspread.wire.document.Section
import kotlinx.collections.immutable.ImmutableList

/**
 * An atomic edit: either all of its changes are accepted or none.
 *
 * @property id unique id, used as the idempotency key: repeating an edit with its id is safe.
 * @property team team on whose behalf the edit is made; it must own the changed sections.
 * @property editor author of the edit, for the history.
 */
public data class Edit(
    public val id: String,
    public val team: String,
    public val editor: String,
    public val note: String,
    public val changes: ImmutableList<EditChange>,
)

/** Change of one section in an [Edit]. */
public sealed interface EditChange {
    /** Name of the section. */
    public val section: String

    /** Version of the section that the change is based on; 0 for a new section. */
    public val baseVersion: Long

    /** Writes the section. The `version` field of [newSection] is the base version. */
    public data class Write(public val newSection: Section) : EditChange {
        override val section: String get() = newSection.name
        override val baseVersion: Long get() = newSection.version
    }

    /** Removes the section. */
    public data class Remove(override val section: String, override val baseVersion: Long) :
        EditChange
}
