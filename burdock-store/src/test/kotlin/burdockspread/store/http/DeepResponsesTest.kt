package burdockspread.store.http

import burdockspread.store.ListResult
import burdockspread.store.ObjectKey
import burdockspread.store.ReadResult
import burdockspread.store.WatchEvent
import com.sun.net.httpserver.HttpServer
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Timeout
import java.net.InetAddress
import java.net.InetSocketAddress
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds

/** Responses of the object API that nest deeply. */
@Timeout(60)
class DeepResponsesTest {
    private var answer = ""
    private val server =
        HttpServer.create(InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0)
    private val store by lazy {
        HttpObjectStore("127.0.0.1:${server.address.port}", "test", 10.seconds)
    }

    @BeforeEach
    fun start() {
        server.createContext("/") { exchange ->
            val body = answer.encodeToByteArray()
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

    // Guards against a StackOverflowError that one object caused in whoever read its list.
    @Test
    fun `a deeply nested object costs only itself`() = runBlocking {
        val objects = listOf(item("good", "{}"), item("odd", DEEP), item("last", "{}"))
        answer = """{"metadata":{"resourceVersion":"9"},"items":[${objects.joinToString(",")}]}"""
        val listed = assertIs<ListResult.Listed>(store.list("sections")).objects
        assertEquals(
            listOf("good" to "{}", "odd" to "null", "last" to "{}"),
            listed.map { it.key.name to it.value },
        )
        answer = objects.joinToString("\n") { """{"type":"ADDED","object":$it}""" }
        val names = store.watch("sections", 1).toList().filterIsInstance<WatchEvent.Put>()
            .map { it.value.key.name }
        assertEquals(listOf("good", "odd", "last"), names)
        answer = item("odd", DEEP)
        val read = assertIs<ReadResult.Found>(store.get(ObjectKey("sections", "odd")))
        assertEquals("null", read.value.value)
    }

    @Test
    fun `a response that nests too deeply makes the store unavailable`() = runBlocking {
        listOf(DEEP, "[".repeat(100_000)).forEach {
            answer = it
            assertIs<ListResult.Unavailable>(store.list("sections"))
            assertIs<ReadResult.Unavailable>(store.get(ObjectKey("sections", "odd")))
            assertIs<WatchEvent.Ended>(store.watch("sections", 1).toList().single())
        }
    }

    private fun item(name: String, spec: String) =
        """{"kind":"sections","metadata":{"name":"$name","resourceVersion":"4"},"spec":$spec}"""

    private companion object {
        val DEEP = "[".repeat(100_000) + "]".repeat(100_000)
    }
}
