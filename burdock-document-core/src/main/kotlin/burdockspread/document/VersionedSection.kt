/** Sections as exchanged between hosts. */
package burdockspread.document

import com.google.protobuf.ByteString
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.zip.Deflater
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream

/**
 * One version of one section, encoded for the exchange between hosts.
 *
 * @property value deflate-compressed canonical JSON; empty for a removed section.
 */
public data class VersionedSection(
    public val section: String,
    public val version: Long,
    public val value: ByteString,
) {
    /** Returns the canonical JSON, or null if [value] cannot be decompressed or is too large. */
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

        /** Creates a section with compressed [json]. */
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

/** Publishes sections that a host read from the store to the other hosts. */
public fun interface SectionPublisher {
    /** Publishes a section. Versions of a section may be repeated and out of order. */
    public fun publish(entry: VersionedSection)
}
