/** Edits of the document. */
package burdockspread.document.edit

import burdockspread.wire.document.Section
import kotlinx.collections.immutable.ImmutableList

/**
 * One edit; all of its changes are accepted together or not at all.
 *
 * @property id unique name of the edit. Sending an edit again under its id accepts it once.
 * @property team team in whose name the edit is made.
 * @property editor who made the edit, for the history.
 */
public data class Edit(
    public val id: String,
    public val team: String,
    public val editor: String,
    public val note: String,
    public val changes: ImmutableList<EditChange>,
)

/** Change of one section within an [Edit]. */
public sealed interface EditChange {
    /** Name of the section. */
    public val section: String

    /** Version that the change starts from; 0 when there was none. */
    public val baseVersion: Long

    /** Writes the section. Its `version` is the version that the change starts from. */
    public data class Write(public val text: Section) : EditChange {
        override val section: String get() = text.name
        override val baseVersion: Long get() = text.version
    }

    /** Removes the section. */
    public data class Remove(override val section: String, override val baseVersion: Long) :
        EditChange
}
