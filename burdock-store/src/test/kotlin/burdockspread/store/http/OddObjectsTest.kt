package burdockspread.store.http

import burdockspread.store.ListResult
import burdockspread.store.ObjectKey
import burdockspread.store.ReadResult
import burdockspread.store.WatchEvent
import burdockspread.store.WriteCondition
import burdockspread.store.WriteResult
import com.sun.net.httpserver.HttpServer
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds

/** Objects of other programs, and names that have a meaning in URIs. */
@Timeout(60)
class OddObjectsTest {
    @Volatile
    private var answer = ""
    private val paths = CopyOnWriteArrayList<String>()
    private val server =
        HttpServer.create(InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0)
    private val store by lazy {
        HttpObjectStore("127.0.0.1:${server.address.port}", "test", 10.seconds)
    }

    @BeforeEach
    fun start() {
        server.createContext("/") { exchange ->
            paths += exchange.requestURI.path.substringAfter("/test/")
            val body = answer.encodeToByteArray()
                .map { if (it == RAW) 0xFF.toByte() else it }.toByteArray()
            exchange.sendResponseHeaders(200, body.size.toLong())
            exchange.responseBody.use { it.write(body) }
        }
        server.start()
    }

    @AfterEach
    fun stop() {
        store.close()
        server.stop(0)
    }

    // Guards against a list that one object of another program made unavailable.
    @Test
    fun `a malformed object is left out of a list`() = runBlocking {
        val objects = (ODD + GOOD).joinToString(",")
        answer = """{"metadata":{"resourceVersion":"9"},"items":[$objects]}"""
        val listed = assertIs<ListResult.Listed>(store.list("sections"))
        assertEquals(listOf("good"), listed.objects.map { it.key.name })
    }

    // Guards against a watch that ended, again and again, at the event of one such object.
    @Test
    fun `a malformed object is left out of a watch`() = runBlocking {
        answer = (ODD + GOOD).joinToString("\n") { """{"type":"ADDED","object":$it}""" }
        val events = store.watch("sections", 1).toList()
        val names = events.filterIsInstance<WatchEvent.Put>().map { it.value.key.name }
        assertEquals(listOf("good"), names)
        assertEquals(WatchEvent.Ended("stream ended"), events.last())
    }

    // Guards against objects of other programs under one name, which no call leads back to.
    @Test
    fun `an object whose name is no UTF-8 is left out of a list`() = runBlocking {
        val objects = (RAW_BYTES + GOOD).joinToString(",")
        answer = """{"metadata":{"resourceVersion":"9"},"items":[$objects]}"""
        val listed = assertIs<ListResult.Listed>(store.list("sections"))
        assertEquals(listOf("value", "good"), listed.objects.map { it.key.name })
    }

    // Guards against a watch that ended, again and again, at such an object.
    @Test
    fun `an object whose name is no UTF-8 is left out of a watch`() = runBlocking {
        answer = (RAW_BYTES + GOOD).joinToString("\n") { """{"type":"ADDED","object":$it}""" }
        val events = store.watch("sections", 1).toList()
        val names = events.filterIsInstance<WatchEvent.Put>().map { it.value.key.name }
        assertEquals(listOf("value", "good"), names)
        assertEquals(WatchEvent.Ended("stream ended"), events.last())
    }

    // Guards against a watch that ended at a line of any other kind.
    @Test
    fun `a malformed event is left out of a watch`() = runBlocking {
        val events = listOf("7", "[]", "{}", """{"type":7}""", """{"type":"ADDED"}""", "{", "|")
        answer = (events + """{"type":"ADDED","object":$GOOD}""").joinToString("\n")
        val seen = store.watch("sections", 1).toList()
        val names = seen.filterIsInstance<WatchEvent.Put>().map { it.value.key.name }
        assertEquals(listOf("good"), names)
        assertEquals(WatchEvent.Ended("stream ended"), seen.last())
    }

    // Guards against calls for another object, or for none, than the one that was named.
    @ParameterizedTest
    @ValueSource(strings = ["r&d", "a+b", "a#b", "a%b", "%26", "a b", "a/b", "a?b", "..", "\u0161"])
    fun `calls name the object as it is`(name: String) = runBlocking<Unit> {
        answer = GOOD.replace("good", name)
        val key = ObjectKey("sections", name)
        assertIs<ReadResult.Found>(store.get(key))
        val condition = WriteCondition.AtVersion(4)
        assertIs<WriteResult.Written>(store.put(key, "{}", condition, "w"))
        assertIs<WriteResult.Written>(store.delete(key, condition))
        assertEquals(List(3) { "sections/$name" }, paths.toList())
    }

    private companion object {
        const val GOOD =
            """{"kind":"sections","metadata":{"name":"good","resourceVersion":"4"},"spec":{}}"""

        /** Sent as the byte FF. */
        const val RAW = '|'.code.toByte()
        val RAW_BYTES = listOf(
            GOOD.replace("good", "|"),
            GOOD.replace("good", "a||b"),
            GOOD.replace("good", "\\ud800"),
            GOOD.replace("good", "value").replace("{}}", "{\"text\":\"|\"}}"),
        )
        val ODD = listOf(
            "7",
            "null",
            "[]",
            "{}",
            """{"kind":"sections"}""",
            """{"kind":7,"metadata":{"name":"a"}}""",
            """{"kind":"sections","metadata":[]}""",
            """{"kind":"sections","metadata":{"name":{},"resourceVersion":"4"}}""",
            """{"kind":"sections","metadata":{"name":"a","annotations":[1]}}""",
        )
    }
}
