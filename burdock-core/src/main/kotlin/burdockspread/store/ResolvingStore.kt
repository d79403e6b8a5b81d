/** The one place that deals with lost answers of the platform's store. */
package burdockspread.store

import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Writes to an [ObjectStore] and resolves lost answers by reading back.
 *
 * A lost write is proved in when the object carries its write id. Otherwise the same write is sent
 * again under the same write id: it either takes effect once or fails on the condition, and the
 * object then tells which.
 */
public class ResolvingStore(
    private val store: ObjectStore,
    private val pause: Duration = 50.milliseconds,
    private val rounds: Int = 6,
) {
    /** Writes [value] if [condition] holds, and resolves a lost answer. */
    public suspend fun put(
        key: ObjectKey,
        value: String,
        condition: WriteCondition,
        writeId: String,
    ): ResolvedWrite {
        var doubtful = false
        var reason = "no answer"
        var wait = pause
        repeat(rounds) {
            when (val result = store.put(key, value, condition, writeId)) {
                is WriteResult.Written -> return ResolvedWrite.Written(result.version)
                is WriteResult.Conflict -> readBack(key, writeId, doubtful)?.let { return it }
                is WriteResult.Refused ->
                    if (!doubtful) return ResolvedWrite.Refused(result.reason)
                is WriteResult.Unknown -> {
                    doubtful = true
                    reason = result.reason
                }
            }
            delay(wait)
            wait *= 2
        }
        return ResolvedWrite.Unresolved(reason)
    }

    /** Reads the object after a conflict: an own earlier send may have caused it. */
    private suspend fun readBack(
        key: ObjectKey,
        writeId: String,
        doubtful: Boolean,
    ): ResolvedWrite? = when (val read = store.get(key)) {
        is ReadResult.Found ->
            if (read.value.writeId == writeId) {
                ResolvedWrite.Written(read.value.version)
            } else {
                lost(read.value, doubtful)
            }
        is ReadResult.Missing -> lost(null, doubtful)
        is ReadResult.Unavailable -> if (doubtful) null else ResolvedWrite.Lost(null)
    }

    /**
     * A conflict without an earlier lost answer proves that the write is out. After a lost answer
     * the write may have been in and been overwritten since, which the object no longer shows.
     */
    private fun lost(current: StoredObject?, doubtful: Boolean): ResolvedWrite = if (doubtful) {
        ResolvedWrite.Unresolved("the object changed after a write without an answer")
    } else {
        ResolvedWrite.Lost(current)
    }
}
