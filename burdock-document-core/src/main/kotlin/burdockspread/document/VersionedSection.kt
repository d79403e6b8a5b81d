/** Sections on their way between hosts. */
package burdockspread.document

import com.google.protobuf.ByteString
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.zip.Deflater
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream

/**
 * One version of one section as hosts pass it on.
 *
 * @property value compressed canonical JSON; empty when the section was removed.
 */
public data class VersionedSection(
    public val section: String,
    public val version: Long,
    public val value: ByteString,
) {
    /** The canonical JSON, or null when [value] is not what [of] makes or is too large. */
    public fun json(): String? = try {
        if (value.isEmpty) "" else inflate()
    } catch (e: IOException) {
        null
    }

    private fun inflate(): String? {
        val input = InflaterInputStream(ByteArrayInputStream(value.toByteArray()))
        val bytes = input.readNBytes(MAX_JSON_BYTES + 1)
        return bytes.decodeToString().takeIf { bytes.size <= MAX_JSON_BYTES }
    }

    public companion object {
        private const val MAX_JSON_BYTES = 4_000_000

        /** Compresses [json]. */
        public fun of(section: String, version: Long, json: String): VersionedSection {
            if (json.isEmpty()) return VersionedSection(section, version, ByteString.EMPTY)
            val bytes = ByteArrayOutputStream()
            val deflater = Deflater(Deflater.BEST_COMPRESSION)
            DeflaterOutputStream(bytes, deflater).use { it.write(json.encodeToByteArray()) }
            deflater.end()
            return VersionedSection(section, version, ByteString.copyFrom(bytes.toByteArray()))
        }
    }
}

/** Takes sections that a host learned from the store and passes them on to the others. */
public fun interface SectionPublisher {
    /** Takes a section. Versions of a section may come twice and in any order. */
    public fun publish(entry: VersionedSection)
}
