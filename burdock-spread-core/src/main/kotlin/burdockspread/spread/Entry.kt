/** Versioned entries and their digests. */
package burdockspread.spread

/** Name of an entry, unique within its kind. */
public data class EntryKey(public val kind: EntryKind, public val name: String)

/**
 * One version of an entry. A host replaces an entry only by one with a higher version.
 *
 * @property retired whether this version says that the entry is gone. Hosts keep it for a while so
 * that older versions stay out.
 */
public data class Entry(
    public val key: EntryKey,
    public val version: Long,
    public val value: EntryBytes = EntryBytes.EMPTY,
    public val retired: Boolean = false,
) {
    /** The entry without its value. */
    public val digest: EntryDigest get() = EntryDigest(key, version)
}

/** Name and version of an entry. */
public data class EntryDigest(public val key: EntryKey, public val version: Long)
