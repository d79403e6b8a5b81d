/** Results of reads from the platform's object API. */
package burdockspread.store

import kotlinx.collections.immutable.ImmutableList

/** Result of reading one object. */
public sealed interface ReadResult {
    /** The object exists. */
    public data class Found(public val value: StoredObject) : ReadResult

    /** No object has the key. */
    public data object Missing : ReadResult

    /** The store did not answer, so nothing is known. */
    public data class Unavailable(public val reason: String) : ReadResult
}

/** Result of listing the objects of one kind. */
public sealed interface ListResult {
    /**
     * All objects, and the version from which a watch continues without a gap.
     *
     * @property newestVersion the moment of the newest part.
     * @property isCached whether the list may be some seconds old.
     */
    public data class Listed(
        public val objects: ImmutableList<StoredObject>,
        public val version: Long,
        public val isCached: Boolean = false,
        public val newestVersion: Long = version,
    ) : ListResult

    /** The store did not answer, so nothing is known. */
    public data class Unavailable(public val reason: String) : ListResult
}
