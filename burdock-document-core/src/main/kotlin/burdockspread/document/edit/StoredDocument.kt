/** The document as the store holds it. */
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
 * The manifest and all contents that it names.
 *
 * @property manifestVersion version of the manifest's object; null before the first edit.
 * @property contents content of each section that is not removed.
 * @property unused objects that no edit can bring into force any more.
 */
public data class StoredDocument(
    public val manifestVersion: Long?,
    public val manifest: Manifest,
    public val contents: ImmutableMap<String, SectionContent> = persistentMapOf(),
    public val unused: ImmutableList<StoredObject> = persistentListOf(),
) {
    /** The entry of a section in the manifest, or null when there never was one. */
    public fun manifestEntry(section: String): ManifestEntry? =
        manifest.sectionsList.find { it.section == section }

    /** Version of a section; 0 when it does not exist or was removed. */
    public fun version(section: String): Long = if (section in contents) {
        checkNotNull(manifestEntry(section)).version
    } else {
        0
    }

    /** The section in force, or null. */
    public fun section(name: String): Section? = contents[name]?.section

    public companion object {
        /** Kind of the document's objects. */
        public const val KIND: String = "sections"

        /** Key of the manifest. */
        public val MANIFEST: ObjectKey = ObjectKey(KIND, "manifest")

        /** The document before its first edit. */
        public val EMPTY: StoredDocument = StoredDocument(null, Manifest.getDefaultInstance())
    }
}
