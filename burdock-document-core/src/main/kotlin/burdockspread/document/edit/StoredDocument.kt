/** The document in the store. */
package burdockspread.document.edit

import burdockspread.store.ObjectKey
import burdockspread.store.StoredObject
import burdockspread.wire.document.Manifest
import burdockspread.wire.document.ManifestEntry
import burdockspread.wire.document.Section
import burdockspread.wire.document.SectionContent
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/**
 * The manifest and the contents that it references.
 *
 * @property manifestVersion version of the manifest object; null before the first edit.
 * @property contents content of each section that is not removed.
 * @property orphans contents that no edit can make active any more.
 */
public data class StoredDocument(
    public val manifestVersion: Long?,
    public val manifest: Manifest,
    public val contents: ImmutableMap<String, SectionContent> = persistentMapOf(),
    public val orphans: ImmutableList<StoredObject> = persistentListOf(),
) {
    /** Returns the entry of a section in the manifest, or null if the section never existed. */
    public fun manifestEntry(section: String): ManifestEntry? =
        manifest.sectionsList.find { it.section == section }

    /** Returns the version of a section; 0 if it does not exist or was removed. */
    public fun version(section: String): Long = if (section in contents) {
        checkNotNull(manifestEntry(section)).version
    } else {
        0
    }

    /** Returns the current section, or null if it does not exist or was removed. */
    public fun section(name: String): Section? = contents[name]?.section

    public companion object {
        /** Kind of the store objects of the document. */
        public const val KIND: String = "sections"

        /** Key of the manifest object. */
        public val MANIFEST: ObjectKey = ObjectKey(KIND, "manifest")

        /** The document before its first edit. */
        public val EMPTY: StoredDocument = StoredDocument(null, Manifest.getDefaultInstance())
    }
}
