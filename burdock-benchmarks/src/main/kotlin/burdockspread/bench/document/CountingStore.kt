/** A store decorator that counts calls and bytes. */
package burdockspread.bench.document

import burdockspread.store.ListResult
import burdockspread.store.ObjectKey
import burdockspread.store.ObjectStore
import burdockspread.store.ReadResult
import burdockspread.store.StoredObject
import burdockspread.store.WatchEvent
import burdockspread.store.WriteCondition
import burdockspread.store.WriteResult

/** Counts one client's calls to [store] and records the events that a watch would deliver. */
internal class CountingStore(private val store: ObjectStore) : ObjectStore by store {
    var reads = 0
    var writes = 0
    var readBytes = 0L
    val events = ArrayList<WatchEvent>()

    override suspend fun get(key: ObjectKey): ReadResult {
        reads++
        return store.get(key).also { if (it is ReadResult.Found) readBytes += bytes(it.value) }
    }

    override suspend fun list(kind: String): ListResult {
        reads++
        return store.list(kind).also { list ->
            if (list is ListResult.Listed) readBytes += list.objects.sumOf { bytes(it) }
        }
    }

    override suspend fun put(
        key: ObjectKey,
        value: String,
        condition: WriteCondition,
        writeId: String,
    ): WriteResult {
        writes++
        return store.put(key, value, condition, writeId).also {
            if (it is WriteResult.Written) {
                events += WatchEvent.Put(StoredObject(key, it.version, writeId, value))
            }
        }
    }

    override suspend fun delete(key: ObjectKey, condition: WriteCondition.AtVersion): WriteResult {
        writes++
        return store.delete(key, condition).also {
            if (it is WriteResult.Written) events += WatchEvent.Deleted(key, it.version)
        }
    }

    private fun bytes(value: StoredObject): Long = value.value.length.toLong()
}
