/** Immutable bytes of entry values. */
package burdockspread.spread

/** Immutable byte array with equality by content. */
public class EntryBytes private constructor(private val bytes: ByteArray) {
    /** Number of bytes. */
    public val size: Int get() = bytes.size

    /** Returns a copy of the bytes. */
    public fun toByteArray(): ByteArray = bytes.copyOf()

    override fun equals(other: Any?): Boolean =
        other is EntryBytes && bytes.contentEquals(other.bytes)

    override fun hashCode(): Int = bytes.contentHashCode()

    override fun toString(): String = "EntryBytes($size)"

    public companion object {
        /** Zero bytes. */
        public val EMPTY: EntryBytes = EntryBytes(ByteArray(0))

        /** Returns a copy of [bytes]. */
        public fun of(bytes: ByteArray): EntryBytes = EntryBytes(bytes.copyOf())

        /** Returns the UTF-8 encoding of [text]. */
        public fun of(text: String): EntryBytes = EntryBytes(text.encodeToByteArray())
    }
}
