package burdockspread.store

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emptyFlow
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class ResolvingStoreTest {
    private val store = ScriptedStore()
    private val resolving = ResolvingStore(store, rounds = 3)

    @Test
    fun `the write id proves that a write with a lost answer was applied`() = runTest {
        store.injectFaults(Fault.ANSWER_LOST)
        assertEquals(ResolvedWrite.Written(1), resolving.put(KEY, "a", ABSENT, "w1"))
        assertEquals(1, store.version)
    }

    @Test
    fun `a call lost in transit is sent again`() = runTest {
        store.injectFaults(Fault.CALL_LOST)
        assertEquals(ResolvedWrite.Written(1), resolving.put(KEY, "a", ABSENT, "w1"))
    }

    @Test
    fun `a refusal is final only when no earlier send is unresolved`() = runTest {
        store.injectFaults(Fault.REFUSED)
        assertIs<ResolvedWrite.Refused>(resolving.put(KEY, "a", ABSENT, "w1"))
        store.injectFaults(Fault.CALL_LOST, Fault.REFUSED, Fault.REFUSED)
        assertIs<ResolvedWrite.Unresolved>(resolving.put(KEY, "a", ABSENT, "w2"))
    }

    @Test
    fun `a replaced object does not show whether the write was applied before`() = runTest {
        store.injectFaults(Fault.CALL_LOST)
        store.beforePut(2) { store.apply("other", "b", ABSENT) }
        val result = assertIs<ResolvedWrite.Unresolved>(resolving.put(KEY, "a", ABSENT, "w1"))
        assertEquals("b", result.current?.value)
    }

    @Test
    fun `another write id under a write-once name proves the write not applied`() = runTest {
        store.injectFaults(Fault.CALL_LOST)
        store.beforePut(2) { store.apply("other", "b", ABSENT) }
        val result = assertIs<ResolvedWrite.NotApplied>(resolving.create(KEY, "a", "w1"))
        assertEquals("b", result.current?.value)
    }

    @Test
    fun `a stale read from before the conflicting write is ignored`() = runTest {
        store.apply("other", "a", ABSENT)
        store.injectFaults(Fault.ANSWER_LOST)
        store.staleReads = 1
        val condition = WriteCondition.AtVersion(1)
        assertEquals(ResolvedWrite.Written(2), resolving.put(KEY, "b", condition, "w1"))
    }

    @Test
    fun `a write applied after giving up is found by the same write id`() = runTest {
        store.injectFaults(Fault.CALL_LOST, Fault.CALL_LOST, Fault.CALL_LOST)
        assertIs<ResolvedWrite.Unresolved>(resolving.put(KEY, "a", ABSENT, "w1"))
        store.apply("w1", "a", ABSENT)
        assertEquals(ResolvedWrite.Written(1), resolving.put(KEY, "a", ABSENT, "w1"))
    }

    private enum class Fault { REFUSED, CALL_LOST, ANSWER_LOST }

    private class ScriptedStore : ObjectStore {
        var version = 0L
        var staleReads = 0
        private val faults = ArrayDeque<Fault>()
        private var current: StoredObject? = null
        private var previous: StoredObject? = null
        private var puts = 0
        private var beforePutActions = HashMap<Int, () -> Unit>()

        fun injectFaults(vararg next: Fault) {
            faults.addAll(next)
        }

        fun beforePut(number: Int, action: () -> Unit) {
            beforePutActions[number] = action
        }

        fun apply(writeId: String, value: String, condition: WriteCondition): WriteResult {
            val isMet = when (condition) {
                is WriteCondition.Absent -> current == null
                is WriteCondition.AtVersion -> current?.version == condition.version
            }
            if (!isMet) return WriteResult.Conflict
            previous = current
            current = StoredObject(KEY, ++version, writeId, value)
            return WriteResult.Written(version)
        }

        override suspend fun get(key: ObjectKey): ReadResult {
            val read = if (staleReads-- > 0) previous else current
            return read?.let { ReadResult.Found(it) } ?: ReadResult.Missing
        }

        override suspend fun put(
            key: ObjectKey,
            value: String,
            condition: WriteCondition,
            writeId: String,
        ): WriteResult {
            beforePutActions[++puts]?.invoke()
            return when (faults.removeFirstOrNull()) {
                Fault.REFUSED -> WriteResult.Refused("rate")
                Fault.CALL_LOST -> WriteResult.Unknown("lost")
                Fault.ANSWER_LOST -> {
                    apply(writeId, value, condition)
                    WriteResult.Unknown("lost")
                }
                null -> apply(writeId, value, condition)
            }
        }

        override suspend fun list(kind: String): ListResult = ListResult.Unavailable("unused")

        override suspend fun delete(
            key: ObjectKey,
            condition: WriteCondition.AtVersion,
        ): WriteResult = WriteResult.Refused("unused")

        override fun watch(kind: String, version: Long): Flow<WatchEvent> = emptyFlow()
    }

    private companion object {
        val KEY = ObjectKey("things", "one")
        val ABSENT = WriteCondition.Absent
    }
}
