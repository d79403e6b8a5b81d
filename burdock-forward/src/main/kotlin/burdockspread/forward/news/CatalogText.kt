/**
 * The text of a configuration and its compressed form for peers.
 *
 * A relay sends a new configuration to all hosts that follow it, over one link. The routes of a
 * configuration differ little from each other, so a large one shrinks to a small part.
 */
package burdockspread.forward.news

import burdockspread.wire.forward.NewsReply
import com.google.protobuf.ByteString
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.zip.Deflater
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream

/** [text] as stored; compressed at most once, whatever the number of peers. */
internal class CatalogText(val text: String) {
    val deflated: ByteString by lazy(LazyThreadSafetyMode.NONE) {
        val deflater = Deflater(Deflater.BEST_SPEED)
        try {
            val out = ByteArrayOutputStream()
            DeflaterOutputStream(out, deflater).use { it.write(text.encodeToByteArray()) }
            ByteString.copyFrom(out.toByteArray())
        } finally {
            deflater.end()
        }
    }
}

/** Adds [catalog], compressed if the requesting host [acceptsDeflate]. */
internal fun NewsReply.Builder.put(catalog: CatalogText, acceptsDeflate: Boolean) {
    if (acceptsDeflate) deflatedCatalog = catalog.deflated else this.catalog = catalog.text
}

/** Returns the text of the configuration, or null if there is none or it is [onUnreadable]. */
internal fun NewsReply.catalogText(onUnreadable: (String) -> Unit): String? = try {
    if (deflatedCatalog.isEmpty) catalog.ifEmpty { null } else inflate(deflatedCatalog)
} catch (e: IOException) {
    onUnreadable(e.message.orEmpty())
    null
}

private fun inflate(deflated: ByteString): String {
    val bytes = InflaterInputStream(deflated.newInput()).use { it.readNBytes(MAX_BYTES + 1) }
    if (bytes.size > MAX_BYTES) throw IOException("longer than $MAX_BYTES bytes")
    return bytes.decodeToString()
}

/** As large as a whole response of a peer may be. */
private const val MAX_BYTES = 4_194_304
