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
     * All objects of a kind as of [version], some of them possibly in a newer state: a long list is
     * read in several parts, each as of its own moment. Every object that did not change after
     * [version] is listed as it is. One that did may be listed as of any later moment, or be
     * missing if it was deleted meanwhile.
     *
     * A watch from [version] brings all changes since then, including those that the list already
     * shows, so whoever applies its events ignores those that are older than their object.
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

    /**
     * The objects of a kind up to entries beyond which the list cannot be read. Nothing is known of
     * an object that is missing here and whose name follows [readThrough].
     *
     * @property version the moment of the oldest part, as of [Listed.version].
     * @property reason why the list ends.
     * @property isCached whether the list may be some seconds old.
     */
    public data class Partial(
        public val objects: ImmutableList<StoredObject>,
        public val version: Long,
        public val readThrough: String,
        public val reason: String,
        public val isCached: Boolean = false,
    ) : ListResult

    /** The store did not answer, so nothing is known. */
    public data class Unavailable(public val reason: String) : ListResult
}
