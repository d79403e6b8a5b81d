/** Client interface of the platform's versioned object API. */
package burdockspread.store

import kotlinx.coroutines.flow.Flow

/**
 * The platform's versioned object API. Every call counts against its rate limit; a pending watch
 * counts as one.
 *
 * Calls never throw on outages: they return `Unavailable` or [WriteResult.Unknown]. Code that must
 * know whether a write was applied uses [ResolvingStore].
 */
public interface ObjectStore {
    /** Reads one object. */
    public suspend fun get(key: ObjectKey): ReadResult

    /** Lists the objects of one kind as of now or later, see [ListResult.Listed]. */
    public suspend fun list(kind: String): ListResult

    /**
     * Lists the objects of one kind as of up to some seconds ago, where the store offers that at a
     * lower cost. What holds for [list] holds for this list as well, but its version may be too old
     * to watch from.
     */
    public suspend fun listCached(kind: String): ListResult = list(kind)

    /** Writes [value] if [condition] holds. The [writeId] is stored with the object. */
    public suspend fun put(
        key: ObjectKey,
        value: String,
        condition: WriteCondition,
        writeId: String,
    ): WriteResult

    /** Writes the [status] of an object beside its value, if [condition] holds. */
    public suspend fun putStatus(
        key: ObjectKey,
        status: String,
        condition: WriteCondition.AtVersion,
    ): WriteResult = WriteResult.Refused("this store has no statuses")

    /** Deletes the object if [condition] holds. */
    public suspend fun delete(key: ObjectKey, condition: WriteCondition.AtVersion): WriteResult

    /** Emits the changes of one kind after [version], and completes after [WatchEvent.Ended]. */
    public fun watch(kind: String, version: Long): Flow<WatchEvent>

    /**
     * Like [watch], but the first [WatchEvent.Progress] comes at once, whether there are changes or
     * not.
     */
    public fun watchAtOnce(kind: String, version: Long): Flow<WatchEvent> = watch(kind, version)

    public companion object {
        /** Maximum size of a value in bytes. */
        public const val MAX_VALUE_BYTES: Int = 1_000_000
    }
}
