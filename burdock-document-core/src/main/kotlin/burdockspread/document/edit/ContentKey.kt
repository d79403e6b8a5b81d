/** Keys of the store objects that hold section contents. */
package burdockspread.document.edit

import burdockspread.store.ObjectKey

/**
 * Key of a section content, with the version of the manifest that its edit is to replace. Once the
 * manifest has another version, a content that it does not reference can never become active and
 * may be deleted.
 */
internal data class ContentKey(
    val section: String,
    val manifestVersion: Long,
    val editId: String,
) {
    val key: ObjectKey
        get() = ObjectKey(StoredDocument.KIND, "$section.$manifestVersion.$editId")

    companion object {
        private const val PARTS = 3

        fun parse(name: String): ContentKey? {
            val parts = name.split('.')
            val version = parts.getOrNull(1)?.toLongOrNull()
            if (parts.size != PARTS || version == null) return null
            return ContentKey(parts.first(), version, parts.last())
        }
    }
}
