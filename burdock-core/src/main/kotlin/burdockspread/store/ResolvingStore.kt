/** Resolution of lost answers from the platform's store. */
package burdockspread.store

import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Writes to an [ObjectStore] and resolves lost answers by reading back.
 *
 * A write without an answer is sent again with the same write id: it takes effect once or fails on
 * its condition, and after a conflict the stored object shows which. Reads may lag, so a read
 * that returns an object which the conflict has proved to be replaced is repeated. For a cancelled
 * caller, the outcome is as uncertain as after [ResolvedWrite.Unresolved].
 *
 * Names created under [WriteCondition.Absent] must not be deleted and reused while a call may still
 * be in flight: a late create would take effect.
 */
public class ResolvingStore(
    private val store: ObjectStore,
    private val initialRetryDelay: Duration = 50.milliseconds,
    private val rounds: Int = 6,
) {
    /** Writes [value] if [condition] holds, and resolves a lost answer. */
    public suspend fun put(
        key: ObjectKey,
        value: String,
        condition: WriteCondition,
        writeId: String,
    ): ResolvedWrite = resolve(PendingWrite(key, value, condition, writeId, isWriteOnce = false))

    /**
     * Creates an object that is never replaced. A different write id under its name therefore
     * proves that this write was not applied, even after a lost answer.
     */
    public suspend fun create(key: ObjectKey, value: String, writeId: String): ResolvedWrite =
        resolve(PendingWrite(key, value, WriteCondition.Absent, writeId, isWriteOnce = true))

    private class PendingWrite(
        val key: ObjectKey,
        val value: String,
        val condition: WriteCondition,
        val writeId: String,
        val isWriteOnce: Boolean,
    ) {
        var mayBeApplied = false
        var reason = "the store did not answer"

        /**
         * Returns whether [read], made after a conflict, cannot be relied on. The conflict proves
         * that the object has been replaced, so a read that still meets [condition] is outdated.
         */
        fun isStale(read: ReadResult): Boolean = when (read) {
            is ReadResult.Found ->
                condition is WriteCondition.AtVersion && read.value.version <= condition.version
            is ReadResult.Missing -> condition is WriteCondition.Absent
            is ReadResult.Unavailable -> true
        }
    }

    private suspend fun resolve(write: PendingWrite): ResolvedWrite {
        var retryDelay = initialRetryDelay
        for (round in 1..rounds) {
            sendOnce(write)?.let { return it }
            if (round < rounds) delay(retryDelay)
            retryDelay *= 2
        }
        return ResolvedWrite.Unresolved(write.reason)
    }

    /**
     * Sends the write once. Returns null when its answer is lost and nothing shows whether it was
     * applied.
     */
    private suspend fun sendOnce(write: PendingWrite): ResolvedWrite? {
        when (val result = store.put(write.key, write.value, write.condition, write.writeId)) {
            is WriteResult.Written -> return ResolvedWrite.Written(result.version)
            is WriteResult.Conflict -> return readBack(write)
            is WriteResult.Refused -> {
                if (!write.mayBeApplied) return ResolvedWrite.Refused(result.reason)
                write.reason = result.reason
            }
            is WriteResult.Unknown -> {
                write.mayBeApplied = true
                write.reason = result.reason
            }
        }
        return null
    }

    /**
     * Reads the object after a conflict, which an earlier send of the same write may have caused.
     */
    private suspend fun readBack(write: PendingWrite): ResolvedWrite? {
        val read = store.get(write.key)
        if (write.isStale(read)) {
            write.reason = "the object could not be read back"
            return if (write.mayBeApplied) null else ResolvedWrite.NotApplied(null)
        }
        val current = (read as? ReadResult.Found)?.value
        return when {
            current?.writeId == write.writeId -> ResolvedWrite.Written(current.version)
            !write.mayBeApplied -> ResolvedWrite.NotApplied(current)
            write.isWriteOnce && current != null -> ResolvedWrite.NotApplied(current)
            else -> ResolvedWrite.Unresolved("object changed after an unanswered write", current)
        }
    }
}
