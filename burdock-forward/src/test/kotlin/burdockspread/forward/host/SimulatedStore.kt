/** The platform's store in virtual time, with its history and its watches. */
package burdockspread.forward.host

import burdockspread.store.ListResult
import burdockspread.store.ObjectKey
import burdockspread.store.ObjectStore
import burdockspread.store.ReadResult
import burdockspread.store.StoredObject
import burdockspread.store.WatchEvent
import burdockspread.store.WriteCondition
import burdockspread.store.WriteResult
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Objects with one revision counter, and the events that led to them. */
internal class SimulatedStore(private val now: () -> Instant) {
    private val objects = LinkedHashMap<ObjectKey, StoredObject>()
    private val history = ArrayList<HistoryEntry>()
    private val wakeUps = MutableStateFlow(0)
    private var revision = FIRST_REVISION
    private var oldestRevision = 0L

    /** Lists and watch responses so far, each of which counts as a call. */
    var calls = 0
        private set

    /** The link that all hosts share. */
    val link = SimulatedLink()

    /** While true, watches hear of no change. */
    var areWatchesMuted = false

    fun put(kind: String, name: String, text: String) {
        val key = ObjectKey(kind, name)
        val value = StoredObject(key, ++revision, "", text)
        objects[key] = value
        record(kind, WatchEvent.Put(value))
    }

    fun remove(kind: String, name: String) {
        val key = ObjectKey(kind, name)
        objects.remove(key) ?: return
        record(kind, WatchEvent.Deleted(key, ++revision))
    }

    /** Forgets the history and ends all watches. */
    fun compact() {
        areWatchesMuted = false
        oldestRevision = ++revision
        wakeUps.value++
    }

    fun list(kind: String): ListResult {
        calls++
        val listed = objects.values.filter { it.key.kind == kind }.toImmutableList()
        return ListResult.Listed(listed, revision)
    }

    /** Lists the objects as they were [CACHE_AGE] ago. */
    fun listCached(kind: String): ListResult {
        calls++
        val known = history.takeWhile { it.at <= now() - CACHE_AGE }
        val cached = LinkedHashMap<ObjectKey, StoredObject>()
        known.filter { it.kind == kind }.forEach {
            when (val event = it.event) {
                is WatchEvent.Put -> cached[event.value.key] = event.value
                is WatchEvent.Deleted -> cached.remove(event.key)
                else -> Unit
            }
        }
        val version = known.lastOrNull()?.revision ?: FIRST_REVISION
        return ListResult.Listed(cached.values.toImmutableList(), version, isCached = true)
    }

    /** Returns the changes after [version], or null if they are no longer known. */
    suspend fun changes(kind: String, version: Long, wait: Duration): List<WatchEvent>? {
        calls++
        withTimeoutOrNull(wait) {
            wakeUps.first { version < oldestRevision || hasChanges(kind, version) }
        }
        if (version < oldestRevision) return null
        if (areWatchesMuted) return listOf(WatchEvent.Progress(version))
        val events = history.filter { it.kind == kind && it.revision > version }.map { it.event }
        return events + WatchEvent.Progress(revision)
    }

    private fun hasChanges(kind: String, version: Long): Boolean =
        !areWatchesMuted && history.any { it.kind == kind && it.revision > version }

    private fun record(kind: String, event: WatchEvent) {
        history += HistoryEntry(kind, revision, event, now())
        wakeUps.value++
    }

    private class HistoryEntry(
        val kind: String,
        val revision: Long,
        val event: WatchEvent,
        val at: Instant,
    )

    private companion object {
        const val FIRST_REVISION = 1L
        val CACHE_AGE = 5.seconds
    }
}

/** One host's access to [store] over [link]. */
internal class SimulatedObjectStore(
    private val store: SimulatedStore,
    private val link: SimulatedLink,
    private val rate: SimulatedRate,
    private val watchWait: Duration,
) : ObjectStore {
    override suspend fun get(key: ObjectKey): ReadResult = ReadResult.Missing

    override suspend fun list(kind: String): ListResult =
        withTimeoutOrNull(CALL_TIMEOUT) { call { store.list(kind) } }?.let { received(it) }
            ?: ListResult.Unavailable("no answer")

    override suspend fun listCached(kind: String): ListResult =
        withTimeoutOrNull(CALL_TIMEOUT) { call { store.listCached(kind) } }?.let { received(it) }
            ?: ListResult.Unavailable("no answer")

    private suspend fun received(listed: ListResult): ListResult? {
        val size = (listed as? ListResult.Listed)?.objects.orEmpty().sumOf { it.value.length }
        return if (rate.pass(size)) listed else null
    }

    override suspend fun put(
        key: ObjectKey,
        value: String,
        condition: WriteCondition,
        writeId: String,
    ): WriteResult = WriteResult.Conflict

    override suspend fun delete(key: ObjectKey, condition: WriteCondition.AtVersion): WriteResult =
        WriteResult.Conflict

    override fun watch(kind: String, version: Long): Flow<WatchEvent> =
        watch(kind, version, watchWait)

    override fun watchAtOnce(kind: String, version: Long): Flow<WatchEvent> =
        watch(kind, version, Duration.ZERO)

    private fun watch(kind: String, version: Long, firstWait: Duration) = flow {
        var at = version
        var wait = firstWait
        while (true) {
            val events = withTimeoutOrNull(wait + CALL_TIMEOUT) {
                call { store.changes(kind, at, wait) ?: emptyList() }
            }
            wait = watchWait
            val puts = events.orEmpty().filterIsInstance<WatchEvent.Put>()
            val isReceived = rate.pass(puts.sumOf { it.value.value.length })
            if (events.isNullOrEmpty() ||
                !isReceived
            ) {
                return@flow emit(WatchEvent.Ended("watch ended"))
            }
            events.forEach { emit(it) }
            at = (events.last() as WatchEvent.Progress).version
        }
    }

    private suspend fun <T : Any> call(serve: suspend () -> T): T? =
        link.call { store.link.call(serve) }

    private companion object {
        val CALL_TIMEOUT = 600.milliseconds
    }
}
