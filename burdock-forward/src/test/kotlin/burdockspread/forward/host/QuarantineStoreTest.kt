package burdockspread.forward.host

import burdockspread.forward.quarantine.Verdict
import burdockspread.forward.quarantine.VerdictId
import burdockspread.id.HostId
import burdockspread.store.ListResult
import burdockspread.store.ObjectKey
import burdockspread.store.ObjectStore
import burdockspread.store.ReadResult
import burdockspread.store.StoredObject
import burdockspread.store.WatchEvent
import burdockspread.store.WriteCondition
import burdockspread.store.WriteResult
import burdockspread.time.TimeSource
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emptyFlow
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Verdicts in a store that may be away and that others may write to. */
class QuarantineStoreTest {
    private val start = Instant.fromEpochSeconds(1_000_000)
    private val store = MapStore()
    private val verdict = Verdict(
        id = VerdictId(HostId("host-1"), 0x9fL),
        parts = persistentSetOf(1L, -2L),
        acquitted = persistentSetOf(1L),
        suspectedSince = start - 10.minutes,
        until = start + 30.seconds,
        term = 30.seconds,
        evidence = persistentListOf("r1 at t1", "r1 at t2"),
    )

    @Test
    fun `a verdict is read as it was written, by its latest state`() = runTest {
        archive().save(verdict)
        settle()
        assertEquals(listOf(verdict), archive().load())
        val extended = verdict.copy(until = start + 5.minutes, term = 4.minutes)
        archive().save(extended)
        settle()
        assertEquals(listOf(extended), archive().load())
        archive().remove(verdict.id)
        settle()
        assertEquals(emptyList(), archive().load())
    }

    // Without the retry a verdict that fell during an outage would be lost with the hosts.
    @Test
    fun `a write is tried again while the store is away`() = runTest {
        store.isAway = true
        archive().save(verdict)
        advanceTimeBy(20.seconds)
        store.isAway = false
        settle()
        assertEquals(listOf(verdict), archive().load())
    }

    @Test
    fun `what is no verdict, or has ended, is left out`() = runTest {
        val malformed = listOf(
            "{}",
            "[]",
            "null",
            "\"text\"",
            """{"host":"h","number":"x","parts":["1"]}""",
            """{"host":"h","number":1,"parts":["zz"],"untilMillis":1,"termMillis":1}""",
            """{"host":"h","number":1,"parts":[[1]],"suspectedSinceMillis":1}""",
            """{"host":"h","number":1,"parts":[],"suspectedSinceMillis":1,"untilMillis":1,""" +
                """"termMillis":1}""",
            "[".repeat(2_000),
        )
        malformed.forEachIndexed { i, text -> store.objects[key("m$i")] = stored("m$i", text) }
        archive().save(verdict.copy(until = start - 1.minutes * 60))
        archive().save(verdict.copy(id = verdict.id.copy(number = 7)))
        settle()
        assertEquals(listOf(7L), archive().load().map { it.id.number })
    }

    // Guards against a verdict that could not be lifted, since calls named another object.
    @Test
    fun `a verdict under another name than its own is left out`() = runTest {
        archive().save(verdict)
        settle()
        val text = store.objects.values.single().value
        store.objects[key("other-9f")] = stored("other-9f", text)
        val replaced = text.replace("host-1", "host-\ufffd")
        store.objects[key("host-2-9f")] = stored("host-2-9f", replaced)
        assertEquals(listOf(verdict), archive().load())
    }

    private fun TestScope.archive() = QuarantineStore(store, TimeSource { start }, this)

    /** Lets pending writes and their retries take place. */
    private fun TestScope.settle() = advanceTimeBy(5.seconds)

    private fun key(name: String) = ObjectKey("forward-quarantine", name)

    private fun stored(name: String, text: String) = StoredObject(key(name), 1, "", text)

    private class MapStore : ObjectStore {
        val objects = LinkedHashMap<ObjectKey, StoredObject>()
        var isAway = false
        private var version = 1L

        override suspend fun get(key: ObjectKey): ReadResult = when (val found = objects[key]) {
            null -> if (isAway) ReadResult.Unavailable("away") else ReadResult.Missing
            else -> if (isAway) ReadResult.Unavailable("away") else ReadResult.Found(found)
        }

        override suspend fun list(kind: String): ListResult =
            ListResult.Listed(objects.values.toImmutableList(), version)

        override suspend fun put(
            key: ObjectKey,
            value: String,
            condition: WriteCondition,
            writeId: String,
        ): WriteResult {
            val expected = (condition as? WriteCondition.AtVersion)?.version
            if (isAway) return WriteResult.Refused("away")
            if (objects[key]?.version != expected) return WriteResult.Conflict
            objects[key] = StoredObject(key, ++version, writeId, value)
            return WriteResult.Written(version)
        }

        override suspend fun delete(
            key: ObjectKey,
            condition: WriteCondition.AtVersion,
        ): WriteResult {
            if (objects[key]?.version != condition.version) return WriteResult.Conflict
            objects -= key
            return WriteResult.Written(++version)
        }

        override fun watch(kind: String, version: Long): Flow<WatchEvent> = emptyFlow()
    }
}
