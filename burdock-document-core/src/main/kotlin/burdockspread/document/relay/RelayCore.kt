/** Decision logic of a relay: which sections to publish. */
package burdockspread.document.relay

import burdockspread.document.CanonicalJson
import burdockspread.document.VersionedSection
import burdockspread.document.edit.StoredDocument
import burdockspread.json.mergeBounded
import burdockspread.store.ObjectKey
import burdockspread.store.StoredObject
import burdockspread.store.WatchEvent
import burdockspread.wire.document.Manifest
import burdockspread.wire.document.ManifestEntry
import burdockspread.wire.document.SectionContent
import com.google.protobuf.InvalidProtocolBufferException
import com.google.protobuf.Message
import com.google.protobuf.util.JsonFormat
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/**
 * Follows the manifest. A content is published only once the manifest references it. Contents that
 * the watch delivers earlier are buffered, so that an edit needs no read. Not thread-safe.
 */
public class RelayCore {
    private val contents = LinkedHashMap<String, StoredObject>()
    private val published = HashMap<String, Long>()
    private var manifest = Manifest.getDefaultInstance()

    /** Generation of the latest manifest. */
    public val generation: Long get() = manifest.generation

    /** Handles a watch event. */
    public fun onEvent(event: WatchEvent): ImmutableList<RelayEffect> = when (event) {
        is WatchEvent.Put -> onObject(event.value)
        is WatchEvent.Deleted -> {
            contents.remove(event.key.name)
            none()
        }
        is WatchEvent.Progress, is WatchEvent.Ended -> none()
    }.toImmutableList()

    /** Handles an object read from the store. */
    public fun onRead(value: StoredObject): ImmutableList<RelayEffect> =
        onObject(value).toImmutableList()

    /** Records that the host already has [version] of [section], for example from a peer. */
    public fun onKnown(section: String, version: Long) {
        if (version > (published[section] ?: 0)) published[section] = version
    }

    private fun onObject(value: StoredObject): List<RelayEffect> {
        if (value.key != StoredDocument.MANIFEST) {
            contents[value.key.name] = value
            if (contents.size > MAX_CONTENTS) contents.remove(contents.keys.first())
            return publishReferenced { it.content == value.key.name }
        }
        val next = parse(value, Manifest.getDefaultInstance()) ?: return none()
        if (next.generation < manifest.generation) return none()
        manifest = next
        return publishReferenced { true }
    }

    private fun publishReferenced(filter: (ManifestEntry) -> Boolean): List<RelayEffect> =
        manifest.sectionsList
            .filter { filter(it) && it.version > (published[it.section] ?: 0) }
            .mapNotNull { publish(it) }

    private fun publish(entry: ManifestEntry): RelayEffect? {
        if (entry.content.isEmpty()) return publish(entry, "")
        val stored = contents.remove(entry.content)
            ?: return RelayEffect.Fetch(ObjectKey(StoredDocument.KIND, entry.content))
        val content = parse(stored, SectionContent.getDefaultInstance()) ?: return null
        return publish(entry, CanonicalJson.write(content.section, entry.version))
    }

    private fun publish(entry: ManifestEntry, json: String): RelayEffect {
        published[entry.section] = entry.version
        return RelayEffect.Publish(VersionedSection.of(entry.section, entry.version, json))
    }

    @Suppress("UNCHECKED_CAST")
    private fun <M : Message> parse(value: StoredObject, prototype: M): M? = try {
        val builder = prototype.newBuilderForType()
        parser.mergeBounded(value.value, builder)
        builder.build() as M
    } catch (e: InvalidProtocolBufferException) {
        null
    }

    private fun none(): List<RelayEffect> = emptyList()

    private companion object {
        // Buffered contents of edits in progress; an evicted one is read once it is referenced.
        const val MAX_CONTENTS = 16
        val parser: JsonFormat.Parser = JsonFormat.parser().ignoringUnknownFields()
    }
}
