/** In-memory fake of the platform's versioned object API. */
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

/** Object store in memory that injects the faults chosen by [faults]. */
public class FakeObjectStore(
    @Volatile public var faults: StoreFaults = StoreFaults { StoreFault.NONE },
) : ObjectStore {
    private val objects = LinkedHashMap<ObjectKey, StoredObject>()
    private val previousValues = HashMap<ObjectKey, StoredObject>()
    private val events = ArrayList<WatchEvent>()
    private val delayedCalls = ArrayDeque<() -> Unit>()
    private val latestVersion = MutableStateFlow(0L)

    /** Delay between the effect of a call and its response. */
    @Volatile public var responseDelay: Duration = Duration.ZERO

    /** Number of reads and lists so far. */
    public val reads: AtomicLong = AtomicLong()

    /** Number of writes and deletes so far, including lost ones. */
    public val writes: AtomicLong = AtomicLong()

    override suspend fun get(key: ObjectKey): ReadResult {
        reads.incrementAndGet()
        val result = when (faults.next()) {
            StoreFault.NONE -> read(key, objects)
            StoreFault.STALE_READ -> read(key, previousValues)
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
            ListResult.Listed(found.toImmutableList(), latestVersion.value)
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
        var lastVersion = version
        while (true) {
            latestVersion.first { it > lastVersion }
            val newEvents = synchronized(objects) { events.filter { versionOf(it) > lastVersion } }
            lastVersion = newEvents.maxOfOrNull { versionOf(it) } ?: lastVersion
            newEvents.filter { kindOf(it) == kind }.forEach { emit(it) }
        }
    }

    /** Executes the calls delayed by [StoreFault.CALL_LATE], in order. */
    public fun deliverDelayedCalls() {
        while (true) {
            val call = synchronized(objects) { delayedCalls.removeFirstOrNull() } ?: return
            call()
        }
    }

    /** Returns the current object under [key] without counting a read. */
    public fun peek(key: ObjectKey): StoredObject? = synchronized(objects) { objects[key] }

    /** Returns all current objects without counting a read. */
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
                synchronized(objects) { delayedCalls.addLast { call() } }
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
        val conditionHolds =
            when (condition) {
                is WriteCondition.Absent -> current == null
                is WriteCondition.AtVersion -> current?.version == condition.version
            }
        when {
            value.toByteArray().size > ObjectStore.MAX_VALUE_BYTES ->
                WriteResult.Refused("value too large")
            !conditionHolds -> WriteResult.Conflict
            else -> {
                current?.let { previousValues[key] = it }
                val next = StoredObject(key, latestVersion.value + 1, writeId, value)
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
            previousValues.remove(key)
            val version = latestVersion.value + 1
            publish(WatchEvent.Deleted(key, version))
            WriteResult.Written(version)
        }

    private fun publish(event: WatchEvent) {
        events += event
        latestVersion.value = versionOf(event)
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
