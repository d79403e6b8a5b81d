package burdockspread.store.http

import burdockspread.fakes.api.ObjectApiServer
import burdockspread.fakes.store.FakeObjectStore
import burdockspread.fakes.store.StoreFault
import burdockspread.fakes.store.StoreFaults
import burdockspread.store.ListResult
import burdockspread.store.ObjectKey
import burdockspread.store.ReadResult
import burdockspread.store.WatchEvent
import burdockspread.store.WriteCondition
import burdockspread.store.WriteResult
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import java.net.ServerSocket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class HttpObjectStoreTest {
    private val port = ServerSocket(0).use { it.localPort }
    private val fake = FakeObjectStore()
    private val server = ObjectApiServer(port, fake)
    private val store = HttpObjectStore("127.0.0.1:$port", "test", 10.seconds)
    private val key = ObjectKey("sections", "models")

    @BeforeEach
    fun start() = server.start()

    @AfterEach
    fun stop() {
        store.close()
        server.stop()
    }

    @Test
    fun `conditional writes can be read back`() = runBlocking {
        assertIs<ReadResult.Missing>(store.get(key))
        val first = store.put(key, """{"a":1}""", WriteCondition.Absent, "w1")
        val version = assertIs<WriteResult.Written>(first).version
        assertIs<WriteResult.Conflict>(store.put(key, "{}", WriteCondition.Absent, "w2"))
        val next = WriteCondition.AtVersion(version)
        assertIs<WriteResult.Written>(store.put(key, """{"a":2}""", next, "w3"))
        assertIs<WriteResult.Conflict>(store.put(key, """{"a":3}""", next, "w4"))
        val found = assertIs<ReadResult.Found>(store.get(key)).value
        assertEquals("""{"a":2}""", found.value)
        assertEquals("w3", found.writeId)
        assertEquals(1, assertIs<ListResult.Listed>(store.list("sections")).objects.size)
    }

    @Test
    fun `a watch emits changes after its start version`() = runBlocking {
        store.put(key, "{}", WriteCondition.Absent, "w1")
        val version = assertIs<ListResult.Listed>(store.list("sections")).version
        store.put(key, """{"a":2}""", WriteCondition.AtVersion(version), "w2")
        val event = store.watch("sections", version).first()
        assertEquals("w2", assertIs<WatchEvent.Put>(event).value.writeId)
    }

    @Test
    fun `distinguishes a rejected write from one whose response was lost`() = runBlocking<Unit> {
        fake.faults = StoreFaults { StoreFault.REFUSED }
        assertIs<WriteResult.Refused>(store.put(key, "{}", WriteCondition.Absent, "w1"))
        fake.faults = StoreFaults { StoreFault.ANSWER_LOST }
        HttpObjectStore("127.0.0.1:$port", "test", 300.milliseconds).use {
            assertIs<WriteResult.Unknown>(it.put(key, "{}", WriteCondition.Absent, "w2"))
            assertIs<ReadResult.Unavailable>(it.get(key))
        }
        assertEquals("w2", fake.peek(key)?.writeId)
        server.stop()
        assertIs<WriteResult.Refused>(store.put(key, "{}", WriteCondition.Absent, "w3"))
    }
}
