/** Reading of the document from the store. */
package burdockspread.document.edit

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import burdockspread.json.mergeBounded
import burdockspread.store.ListResult
import burdockspread.store.ObjectKey
import burdockspread.store.ObjectStore
import burdockspread.store.ReadResult
import burdockspread.store.StoredObject
import burdockspread.wire.document.Manifest
import burdockspread.wire.document.SectionContent
import com.google.protobuf.InvalidProtocolBufferException
import com.google.protobuf.Message
import com.google.protobuf.util.JsonFormat
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap

/** Reads the manifest and the section contents. Errors are human-readable reasons. */
public class DocumentReader(private val store: ObjectStore) {
    /** Reads the whole document, with a single call if the listing of the store is up to date. */
    public suspend fun read(): Either<String, StoredDocument> =
        when (val list = store.list(StoredDocument.KIND)) {
            is ListResult.Unavailable -> list.reason.left()
            is ListResult.Partial -> list.reason.left()
            is ListResult.Listed -> assemble(list.objects)
        }

    /** Reads only the manifest. */
    public suspend fun readManifest(): Either<String, StoredDocument> =
        when (val read = store.get(StoredDocument.MANIFEST)) {
            is ReadResult.Unavailable -> read.reason.left()
            is ReadResult.Missing -> StoredDocument.EMPTY.right()
            is ReadResult.Found -> parse(read.value, Manifest.getDefaultInstance()) { manifest ->
                StoredDocument(read.value.version, manifest).right()
            }
        }

    private suspend fun assemble(objects: List<StoredObject>): Either<String, StoredDocument> {
        val manifest = objects.find { it.key == StoredDocument.MANIFEST }
            ?: return StoredDocument.EMPTY.right()
        val byName = objects.associateBy { it.key.name }
        return parse(manifest, Manifest.getDefaultInstance()) {
            assemble(manifest.version, it, byName)
        }
    }

    private suspend fun assemble(
        version: Long,
        manifest: Manifest,
        objects: Map<String, StoredObject>,
    ): Either<String, StoredDocument> {
        val contents = HashMap<String, SectionContent>()
        val entries = manifest.sectionsList.filter { it.content.isNotEmpty() }
        for (entry in entries) {
            val stored = objects[entry.content]
                ?: readContent(entry.content)
                ?: return "content ${entry.content} is not in the store yet".left()
            parse(stored, SectionContent.getDefaultInstance()) { it.right() }
                .fold({ return it.left() }) { contents[entry.section] = it }
        }
        val used = entries.mapTo(HashSet()) { it.content }
        val orphans = objects.values.filter { it.key.name !in used && isOrphan(it.key, version) }
        return StoredDocument(
            version,
            manifest,
            contents.toImmutableMap(),
            orphans.toImmutableList(),
        ).right()
    }

    private suspend fun readContent(name: String): StoredObject? {
        val read = store.get(ObjectKey(StoredDocument.KIND, name))
        return (read as? ReadResult.Found)?.value
    }

    private fun isOrphan(key: ObjectKey, manifestVersion: Long): Boolean {
        val content = ContentKey.parse(key.name) ?: return false
        return content.manifestVersion < manifestVersion
    }

    @Suppress("UNCHECKED_CAST")
    private inline fun <M : Message, R> parse(
        stored: StoredObject,
        prototype: M,
        transform: (M) -> Either<String, R>,
    ): Either<String, R> = try {
        val builder = prototype.newBuilderForType()
        parser.mergeBounded(stored.value, builder)
        transform(builder.build() as M)
    } catch (e: InvalidProtocolBufferException) {
        "object ${stored.key.name} cannot be parsed: ${e.message}".left()
    }

    private companion object {
        val parser: JsonFormat.Parser = JsonFormat.parser().ignoringUnknownFields()
    }
}
