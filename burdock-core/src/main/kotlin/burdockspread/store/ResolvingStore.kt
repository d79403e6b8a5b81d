/** The one place that deals with lost answers of the platform's store. */
package burdockspread.store

import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Writes to an [ObjectStore] and resolves lost answers by reading back.
 *
 * A write without an answer is sent again under the same write id: it takes effect once or fails
 * on its condition, and after a conflict the object tells which. Reads may lag, so an object that
 * the conflict has proved to be replaced is read again. A caller that is cancelled in here knows
 * no more than after [ResolvedWrite.Unresolved].
 *
 * Names created under [WriteCondition.Absent] must not be deleted and used again within the time
 * that a call may be under way: an old create that arrives late would take effect.
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
    ): ResolvedWrite = resolve(PendingWrite(key, value, condition, writeId, writeOnce = false))

    /**
     * Creates an object that is never replaced. Another write id under its name therefore proves
     * that this write is out, also after a lost answer.
     */
    public suspend fun create(key: ObjectKey, value: String, writeId: String): ResolvedWrite =
        resolve(PendingWrite(key, value, WriteCondition.Absent, writeId, writeOnce = true))

    private class PendingWrite(
        val key: ObjectKey,
        val value: String,
        val condition: WriteCondition,
        val writeId: String,
        val writeOnce: Boolean,
    ) {
        var doubtful = false
        var reason = "no answer"

        /** A conflict proves that the object has been replaced since: other reads are stale. */
        fun isStale(read: ReadResult): Boolean = when (read) {
            is ReadResult.Found ->
                condition is WriteCondition.AtVersion && read.value.version <= condition.version
            is ReadResult.Missing -> condition is WriteCondition.Absent
            is ReadResult.Unavailable -> true
        }
    }

    private suspend fun resolve(write: PendingWrite): ResolvedWrite {
        var wait = pause
        for (round in 1..rounds) {
            attempt(write)?.let { return it }
            if (round < rounds) delay(wait)
            wait *= 2
        }
        return ResolvedWrite.Unresolved(write.reason)
    }

    /** Sends the write once. Null when its answer is lost and nothing has proved where it went. */
    private suspend fun attempt(write: PendingWrite): ResolvedWrite? {
        when (val result = store.put(write.key, write.value, write.condition, write.writeId)) {
            is WriteResult.Written -> return ResolvedWrite.Written(result.version)
            is WriteResult.Conflict -> return readBack(write)
            is WriteResult.Refused -> {
                if (!write.doubtful) return ResolvedWrite.Refused(result.reason)
                write.reason = result.reason
            }
            is WriteResult.Unknown -> {
                write.doubtful = true
                write.reason = result.reason
            }
        }
        return null
    }

    /** Reads the object after a conflict: an own earlier send may have caused it. */
    private suspend fun readBack(write: PendingWrite): ResolvedWrite? {
        val read = store.get(write.key)
        if (write.isStale(read)) {
            write.reason = "the object cannot be read back"
            return if (write.doubtful) null else ResolvedWrite.NotApplied(null)
        }
        val current = (read as? ReadResult.Found)?.value
        return when {
            current?.writeId == write.writeId -> ResolvedWrite.Written(current.version)
            !write.doubtful -> ResolvedWrite.NotApplied(current)
            write.writeOnce && current != null -> ResolvedWrite.NotApplied(current)
            else -> ResolvedWrite.Unresolved("replaced after a write without answer", current)
        }
    }
}
