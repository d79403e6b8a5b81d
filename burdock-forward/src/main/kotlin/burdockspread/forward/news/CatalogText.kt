/**
 * The text of a configuration and the forms in which peers get it.
 *
 * A relay sends a new configuration to all hosts that follow it, over one link. So a host that
 * knows the configuration before it gets the difference, any other host the whole text, compressed.
 */
package burdockspread.forward.news

import burdockspread.wire.forward.CatalogDelta
import burdockspread.wire.forward.NewsReply
import burdockspread.wire.forward.NewsRequest
import com.google.protobuf.ByteString
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.security.MessageDigest
import java.util.zip.Deflater
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream

/** [text] as stored; compressed at most once, whatever the number of peers. */
internal class CatalogText(val text: String) {
    val deflated: ByteString by lazy(LazyThreadSafetyMode.NONE) {
        deflate(text.encodeToByteArray(), Deflater.BEST_SPEED)
    }

    /** SHA-256 of the text in UTF-8. */
    val digest: ByteString by lazy(LazyThreadSafetyMode.NONE) {
        val sha = MessageDigest.getInstance("SHA-256")
        ByteString.copyFrom(sha.digest(text.encodeToByteArray()))
    }
}

/** The configuration in force and those before it, which peers may still have. */
internal class CatalogHistory {
    private val earlier = ArrayDeque<CatalogText>()
    private val deltas = HashMap<ByteString, ByteString>()

    /** The configuration in force; its text is empty before the first one. */
    var current = CatalogText("")
        private set

    /** Puts [next] into force. */
    fun onNext(next: CatalogText) {
        if (current.text.isNotEmpty()) earlier.addFirst(current)
        if (earlier.size > MAX_EARLIER) earlier.removeLast()
        deltas.clear()
        current = next
    }

    /** Returns what leads to [current] from the text with [digest], or null if that is unknown. */
    fun deltaFrom(digest: ByteString): ByteString? {
        val base = earlier.firstOrNull { it.digest == digest } ?: return null
        return deltas.getOrPut(digest) {
            val delta = catalogDelta(base.text, current.text)
            deflate(delta.toByteArray(), Deflater.DEFAULT_COMPRESSION)
        }
    }

    private companion object {
        /** Operators change a configuration at most a few times within a poll of a peer. */
        const val MAX_EARLIER = 2
    }
}

/** Adds the current text of [catalogs] in the shortest form that the sender of [request] reads. */
internal fun NewsReply.Builder.put(catalogs: CatalogHistory, request: NewsRequest) {
    val delta = catalogs.deltaFrom(request.catalogDigest)
    when {
        delta != null -> {
            catalogDelta = delta
            catalogDigest = catalogs.current.digest
        }
        request.acceptsDeflate -> deflatedCatalog = catalogs.current.deflated
        else -> catalog = catalogs.current.text
    }
}

/**
 * Returns the text of the configuration, or null if there is none.
 *
 * @param earlier the text whose digest stood in the request.
 * @throws IOException if the text is unreadable, or is not the one that the peer has.
 */
internal fun NewsReply.catalogText(earlier: CatalogText): CatalogText? = when {
    !catalogDelta.isEmpty -> apply(catalogDelta, catalogDigest, earlier)
    !deflatedCatalog.isEmpty -> CatalogText(inflate(deflatedCatalog).decodeToString())
    catalog.isNotEmpty() -> CatalogText(catalog)
    else -> null
}

/** Form in which the reply holds the configuration, and its size in bytes. */
internal val NewsReply.catalogForm: Pair<String, Int>
    get() = when {
        !catalogDelta.isEmpty -> "delta" to catalogDelta.size()
        !deflatedCatalog.isEmpty -> "deflated" to deflatedCatalog.size()
        else -> "text" to catalog.length
    }

private fun apply(delta: ByteString, digest: ByteString, earlier: CatalogText): CatalogText {
    val next = try {
        CatalogText(CatalogDelta.parseFrom(inflate(delta)).applyTo(earlier.text, MAX_BYTES))
    } catch (e: IllegalArgumentException) {
        throw IOException(e.message, e)
    }
    if (next.digest != digest) throw IOException("the delta leads to another text")
    return next
}

private fun deflate(bytes: ByteArray, level: Int): ByteString {
    val deflater = Deflater(level)
    try {
        val out = ByteArrayOutputStream()
        DeflaterOutputStream(out, deflater).use { it.write(bytes) }
        return ByteString.copyFrom(out.toByteArray())
    } finally {
        deflater.end()
    }
}

private fun inflate(deflated: ByteString): ByteArray {
    val bytes = InflaterInputStream(deflated.newInput()).use { it.readNBytes(MAX_BYTES + 1) }
    if (bytes.size > MAX_BYTES) throw IOException("longer than $MAX_BYTES bytes")
    return bytes
}

/** As large as a whole response of a peer may be. */
private const val MAX_BYTES = 4_194_304
