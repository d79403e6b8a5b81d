/** Results of reads from the platform's object API. */
package burdockspread.store

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

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
     * @property unread names that were passed over; a watch brings changes of their objects too.
     * @property isCached whether the list may be some seconds old.
     */
    public data class Listed(
        public val objects: ImmutableList<StoredObject>,
        public val version: Long,
        public val isCached: Boolean = false,
        public val newestVersion: Long = version,
        public val unread: UnreadNames = UnreadNames.NONE,
    ) : ListResult

    /**
     * The objects of a kind up to entries beyond which the list cannot be read.
     *
     * @property version the moment of the oldest part, as of [Listed.version].
     * @property unread the names behind those entries, and any that were passed over.
     * @property reason why the list ends.
     * @property isCached whether the list may be some seconds old.
     */
    public data class Partial(
        public val objects: ImmutableList<StoredObject>,
        public val version: Long,
        public val unread: UnreadNames,
        public val reason: String,
        public val isCached: Boolean = false,
    ) : ListResult

    /** The store did not answer, so nothing is known. */
    public data class Unavailable(public val reason: String) : ListResult
}

/** Names that a list could not read: an object there may exist though the list lacks it. */
public data class UnreadNames(public val ranges: ImmutableList<NameRange>) {
    public operator fun contains(name: String): Boolean = ranges.any { name in it }

    public fun isEmpty(): Boolean = ranges.isEmpty()

    public companion object {
        public val NONE: UnreadNames = UnreadNames(persistentListOf())

        /** Returns all names that follow [name]. */
        public fun after(name: String): UnreadNames = UnreadNames(persistentListOf(NameRange(name)))
    }
}

/** The names between [after] and [before], without these two; no end if [before] is null. */
public data class NameRange(public val after: String, public val before: String? = null) {
    public operator fun contains(name: String): Boolean =
        name > after && (before == null || name < before)
}
