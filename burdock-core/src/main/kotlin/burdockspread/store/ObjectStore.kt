/** The platform's versioned object API as the system sees it. */
package burdockspread.store

import kotlinx.coroutines.flow.Flow

/**
 * The platform's versioned object API. Every call counts against its rate, a waiting watch as one.
 *
 * Calls never throw for outages: they return `Unavailable` or [WriteResult.Unknown]. Code that must
 * know whether a write is in goes through [ResolvingStore].
 */
public interface ObjectStore {
    /** Reads one object. */
    public suspend fun get(key: ObjectKey): ReadResult

    /** Lists the objects of one kind. */
    public suspend fun list(kind: String): ListResult

    /**
     * Lists the objects of one kind as of up to some seconds ago, where the store offers that at a
     * lower price. Its version may be too old to watch from.
     */
    public suspend fun listCached(kind: String): ListResult = list(kind)

    /** Writes [value] if [condition] holds. The [writeId] is kept with the object. */
    public suspend fun put(
        key: ObjectKey,
        value: String,
        condition: WriteCondition,
        writeId: String,
    ): WriteResult

    /** Deletes the object if [condition] holds. */
    public suspend fun delete(key: ObjectKey, condition: WriteCondition.AtVersion): WriteResult

    /** Emits the changes of one kind after [version], and completes after [WatchEvent.Ended]. */
    public fun watch(kind: String, version: Long): Flow<WatchEvent>

    public companion object {
        /** Largest value that the store takes, in bytes. */
        public const val MAX_VALUE_BYTES: Int = 1_000_000
    }
}
