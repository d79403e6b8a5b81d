package burdockspread.store

import burdockspread.time.TimeSource
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class KindWatcherTest {
    @Test
    fun `a store that answers reads and ends watches at once is asked ever less often`() = runTest {
        val store = ScriptedStore(watchLives = Duration.ZERO)
        val follower = launch { follower(store, Sink()).run() }
        delay(1.minutes)
        follower.cancel()
        assertTrue(store.calls <= 2 * 65, "${store.calls} calls in a minute")
    }

    @Test
    fun `a store without answers is asked about once a second`() = runTest {
        val store = ScriptedStore(listed = false)
        val sink = Sink()
        val follower = launch { follower(store, sink).run() }
        delay(1.minutes)
        follower.cancel()
        assertTrue(store.calls in 55..65, "${store.calls} calls in a minute")
        assertEquals(store.calls, sink.lost)
    }

    @Test
    fun `after a watch that lived the list follows at once`() = runTest {
        val store = ScriptedStore(watchLives = 10.seconds)
        val follower = launch { follower(store, Sink()).run() }
        delay(1.minutes)
        follower.cancel()
        assertTrue(store.calls in 10..13, "${store.calls} calls in a minute")
    }

    @Test
    fun `changes in quick succession cost few answers of the watch`() = runTest {
        val store = ScriptedStore(changes = true)
        val follower = launch { follower(store, Sink()).run() }
        delay(10.seconds)
        follower.cancel()
        assertTrue(store.answers in 20..30, "${store.answers} answers in ten seconds")
    }

    @Test
    fun `a store whose cached lists lie before its history is caught up with by a recent one`() =
        runTest {
            val store = ScriptedStore(changes = true, cachedVersion = 0, history = 5)
            val sink = Sink()
            val follower = launch { follower(store, sink).run() }
            delay(1.seconds)
            follower.cancel()
            assertEquals(listOf(0L, 9L), sink.listed)
            assertTrue(store.answers > 0)
        }

    private fun TestScope.follower(store: ObjectStore, sink: KindListener): KindWatcher {
        val clock = TimeSource { Instant.fromEpochMilliseconds(currentTime) }
        return KindWatcher("things", store, sink, clock)
    }

    private class Sink : KindListener {
        var lost = 0
        val listed = ArrayList<Long>()

        override fun onListed(kind: String, listed: ListResult.Listed) {
            this.listed += listed.version
        }

        override fun onEvent(kind: String, event: WatchEvent) = Unit

        override fun onUnavailable(kind: String, reason: String) {
            lost++
        }
    }

    private class ScriptedStore(
        private val listed: Boolean = true,
        private val watchLives: Duration = Duration.ZERO,
        private val changes: Boolean = false,
        private val cachedVersion: Long = 9,
        private val history: Long = 0,
    ) : ObjectStore {
        var calls = 0
        var answers = 0

        override suspend fun get(key: ObjectKey): ReadResult = ReadResult.Missing

        override suspend fun list(kind: String): ListResult {
            calls++
            if (!listed) return ListResult.Unavailable("away")
            return ListResult.Listed(persistentListOf(), 9)
        }

        override suspend fun listCached(kind: String): ListResult = when (val recent = list(kind)) {
            is ListResult.Listed -> recent.copy(version = cachedVersion)
            is ListResult.Unavailable -> recent
        }

        override suspend fun put(
            key: ObjectKey,
            value: String,
            condition: WriteCondition,
            writeId: String,
        ): WriteResult = WriteResult.Conflict

        override suspend fun delete(
            key: ObjectKey,
            condition: WriteCondition.AtVersion,
        ): WriteResult = WriteResult.Conflict

        override fun watch(kind: String, version: Long): Flow<WatchEvent> = flow {
            calls++
            if (watchLives > Duration.ZERO) {
                delay(watchLives)
                emit(WatchEvent.Progress(version))
            }
            while (changes && version >= history) {
                delay(10.milliseconds)
                emit(WatchEvent.Deleted(ObjectKey(kind, "one"), ++answers + version))
                emit(WatchEvent.Progress(answers + version))
            }
            emit(WatchEvent.Ended("turned away"))
        }
    }
}
