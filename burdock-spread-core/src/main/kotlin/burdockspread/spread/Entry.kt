/** Versioned entries and their digests. */
package burdockspread.spread

/** Key of an entry; names are unique within a kind. */
public data class EntryKey(public val kind: EntryKind, public val name: String)

/**
 * One version of an entry. A host replaces an entry only by one with a higher version.
 *
 * @property retired whether this version is a tombstone of a deleted entry. Hosts keep tombstones
 * for a while so that older versions are not restored.
 */
public data class Entry(
    public val key: EntryKey,
    public val version: Long,
    public val value: EntryBytes = EntryBytes.EMPTY,
    public val retired: Boolean = false,
) {
    /** The key and version of the entry. */
    public val digest: EntryDigest get() = EntryDigest(key, version)
}

/** Key and version of an entry. */
public data class EntryDigest(public val key: EntryKey, public val version: Long)
