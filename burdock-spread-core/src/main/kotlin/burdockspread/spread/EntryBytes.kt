/** Immutable bytes of an entry's value. */
package burdockspread.spread

/** Immutable bytes, compared by content. */
public class EntryBytes private constructor(private val bytes: ByteArray) {
    /** Number of bytes. */
    public val size: Int get() = bytes.size

    /** A copy of the bytes. */
    public fun toByteArray(): ByteArray = bytes.copyOf()

    override fun equals(other: Any?): Boolean =
        other is EntryBytes && bytes.contentEquals(other.bytes)

    override fun hashCode(): Int = bytes.contentHashCode()

    override fun toString(): String = "EntryBytes($size)"

    public companion object {
        /** No bytes. */
        public val EMPTY: EntryBytes = EntryBytes(ByteArray(0))

        /** Copies [bytes]. */
        public fun of(bytes: ByteArray): EntryBytes = EntryBytes(bytes.copyOf())

        /** The UTF-8 bytes of [text]. */
        public fun of(text: String): EntryBytes = EntryBytes(text.encodeToByteArray())
    }
}
