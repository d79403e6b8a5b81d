/** An in-memory stand-in for the platform's versioned object API. */
package burdockspread.fakes.store

import burdockspread.store.ListResult
import burdockspread.store.ObjectKey
import burdockspread.store.ObjectStore
import burdockspread.store.ReadResult
import burdockspread.store.StoredObject
import burdockspread.store.WatchEvent
import burdockspread.store.WriteCondition
import burdockspread.store.WriteResult
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.flow
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/** Keeps objects in memory and shows the faults that [faults] chooses. */
public class FakeObjectStore(
    @Volatile public var faults: StoreFaults = StoreFaults { StoreFault.NONE },
) : ObjectStore {
    private val objects = LinkedHashMap<ObjectKey, StoredObject>()
    private val previous = HashMap<ObjectKey, StoredObject>()
    private val events = ArrayList<WatchEvent>()
    private val late = ArrayDeque<() -> Unit>()
    private val latest = MutableStateFlow(0L)

    /** Time from the effect of a call to its answer. */
    @Volatile public var responseDelay: Duration = Duration.ZERO

    /** Number of reads and lists so far. */
    public val reads: AtomicLong = AtomicLong()

    /** Number of writes and deletes so far, lost ones included. */
    public val writes: AtomicLong = AtomicLong()

    override suspend fun get(key: ObjectKey): ReadResult {
        reads.incrementAndGet()
        val result = when (faults.next()) {
            StoreFault.NONE -> read(key, objects)
            StoreFault.STALE_READ -> read(key, previous)
            else -> ReadResult.Unavailable("fake outage")
        }
        delay(responseDelay)
        return result
    }

    override suspend fun list(kind: String): ListResult {
        reads.incrementAndGet()
        val fault = faults.next()
        if (fault != StoreFault.NONE && fault != StoreFault.STALE_READ) {
            return ListResult.Unavailable("fake outage")
        }
        return synchronized(objects) {
            val found = objects.values.filter { it.key.kind == kind }
            ListResult.Listed(found.toImmutableList(), latest.value)
        }
    }

    override suspend fun put(
        key: ObjectKey,
        value: String,
        condition: WriteCondition,
        writeId: String,
    ): WriteResult {
        val result = write { apply(key, value, condition, writeId) }
        delay(responseDelay)
        return result
    }

    override suspend fun delete(key: ObjectKey, condition: WriteCondition.AtVersion): WriteResult =
        write { remove(key, condition) }

    override fun watch(kind: String, version: Long): Flow<WatchEvent> = flow {
        var seen = version
        while (true) {
            latest.first { it > seen }
            val fresh = synchronized(objects) { events.filter { versionOf(it) > seen } }
            seen = fresh.maxOfOrNull { versionOf(it) } ?: seen
            fresh.filter { kindOf(it) == kind }.forEach { emit(it) }
        }
    }

    /** Lets the calls that were chosen to be late arrive now, in their order. */
    public fun deliverDelayedCalls() {
        while (true) {
            val call = synchronized(objects) { late.removeFirstOrNull() } ?: return
            call()
        }
    }

    /** The object under [key] as it is now, without counting a call. */
    public fun peek(key: ObjectKey): StoredObject? = synchronized(objects) { objects[key] }

    /** All objects as they are now, without counting a call. */
    public fun peekAll(): List<StoredObject> = synchronized(objects) { objects.values.toList() }

    private fun write(call: () -> WriteResult): WriteResult {
        writes.incrementAndGet()
        return when (faults.next()) {
            StoreFault.NONE, StoreFault.STALE_READ -> call()
            StoreFault.REFUSED -> WriteResult.Refused("fake rate limit")
            StoreFault.CALL_LOST -> WriteResult.Unknown("fake lost call")
            StoreFault.ANSWER_LOST -> {
                call()
                WriteResult.Unknown("fake lost answer")
            }
            StoreFault.CALL_LATE -> {
                synchronized(objects) { late.addLast { call() } }
                WriteResult.Unknown("fake late call")
            }
        }
    }

    private fun read(key: ObjectKey, source: Map<ObjectKey, StoredObject>): ReadResult =
        synchronized(objects) {
            source[key]?.let { ReadResult.Found(it) } ?: ReadResult.Missing
        }

    private fun apply(
        key: ObjectKey,
        value: String,
        condition: WriteCondition,
        writeId: String,
    ): WriteResult = synchronized(objects) {
        val current = objects[key]
        val holds =
            when (condition) {
                is WriteCondition.Absent -> current == null
                is WriteCondition.AtVersion -> current?.version == condition.version
            }
        when {
            value.toByteArray().size > ObjectStore.MAX_VALUE_BYTES ->
                WriteResult.Refused("value too large")
            !holds -> WriteResult.Conflict
            else -> {
                current?.let { previous[key] = it }
                val next = StoredObject(key, latest.value + 1, writeId, value)
                objects[key] = next
                publish(WatchEvent.Put(next))
                WriteResult.Written(next.version)
            }
        }
    }

    private fun remove(key: ObjectKey, condition: WriteCondition.AtVersion): WriteResult =
        synchronized(objects) {
            if (objects[key]?.version != condition.version) return WriteResult.Conflict
            objects.remove(key)
            previous.remove(key)
            val version = latest.value + 1
            publish(WatchEvent.Deleted(key, version))
            WriteResult.Written(version)
        }

    private fun publish(event: WatchEvent) {
        events += event
        latest.value = versionOf(event)
    }

    private fun versionOf(event: WatchEvent): Long = when (event) {
        is WatchEvent.Put -> event.value.version
        is WatchEvent.Deleted -> event.version
        is WatchEvent.Progress -> event.version
        is WatchEvent.Ended -> 0
    }

    private fun kindOf(event: WatchEvent): String = when (event) {
        is WatchEvent.Put -> event.value.key.kind
        is WatchEvent.Deleted -> event.key.kind
        is WatchEvent.Progress, is WatchEvent.Ended -> ""
    }
}
