package burdockspread.store.http

import burdockspread.store.ListResult
import burdockspread.store.ObjectKey
import burdockspread.store.ReadResult
import burdockspread.store.WriteCondition
import burdockspread.store.WriteResult
import com.sun.net.httpserver.HttpServer
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Timeout
import java.io.IOException
import java.io.OutputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.Executors
import java.util.concurrent.locks.LockSupport
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTimedValue

/** Responses of the object API that take longer than the timeout of a call. */
@Timeout(60)
class SlowResponsesTest {
    private val threads = Executors.newCachedThreadPool()
    private val server =
        HttpServer.create(InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0)
    private val store by lazy {
        HttpObjectStore("127.0.0.1:${server.address.port}", "test", 600.milliseconds)
    }
    private val key = ObjectKey("sections", "models")
    private var body = ""
    private var send: OutputStream.(ByteArray) -> Unit = { paced(it) }

    @BeforeEach
    fun start() {
        server.createContext("/") { exchange ->
            exchange.requestBody.readAllBytes()
            val bytes = body.encodeToByteArray()
            exchange.sendResponseHeaders(200, bytes.size.toLong())
            try {
                exchange.responseBody.use { it.send(bytes) }
            } catch (e: IOException) {
                // The client has given up, or the response was left incomplete on purpose.
            }
        }
        server.executor = threads
        server.start()
    }

    @AfterEach
    fun stop() {
        store.close()
        threads.shutdownNow()
        server.stop(0)
    }

    // Guards against a document that can never be read over a slow link, however often it is tried.
    @Test
    fun `large responses are read over a slow link`() = runBlocking {
        body = """{"metadata":{"resourceVersion":"9"},"items":[$LARGE_ITEM]}"""
        val listed = assertIs<ListResult.Listed>(store.list("sections"))
        assertEquals(LARGE_SPEC.length, listed.objects.single().value.length)
        body = LARGE_ITEM
        val read = assertIs<ReadResult.Found>(store.get(key))
        assertEquals(LARGE_SPEC.length, read.value.value.length)
    }

    // Guards against a write that is reported as unknown because the store returns a large object.
    @Test
    fun `a write is known by its large response over a slow link`() = runBlocking<Unit> {
        body = LARGE_ITEM
        assertIs<WriteResult.Written>(store.put(key, "{}", WriteCondition.Absent, "w1"))
        assertIs<WriteResult.Written>(store.delete(key, WriteCondition.AtVersion(4)))
    }

    // Guards against a store that is noticed later than before because its responses may be slow.
    @Test
    fun `a store that stalls, trickles or says nothing is given up as fast as ever`() {
        body = LARGE_ITEM
        val forms = mapOf<String, OutputStream.(ByteArray) -> Unit>(
            "silent" to { park(SILENT_MILLIS) },
            "stalls" to {
                write(it, 0, STALLED_BYTES)
                flush()
                park(SILENT_MILLIS)
            },
            "trickles" to { bytes ->
                repeat(TRICKLED_PIECES) { piece ->
                    write(bytes, piece * TRICKLED_BYTES, TRICKLED_BYTES)
                    flush()
                    park(TRICKLE_MILLIS)
                }
            },
        )
        forms.forEach { (name, form) ->
            send = form
            val (read, took) = measureTimedValue { runBlocking { store.get(key) } }
            assertIs<ReadResult.Unavailable>(read, name)
            assertTrue(took < NOTICED_WITHIN, "$name: $took")
        }
    }

    /** Writes at the rate of the slowest link of a host. */
    private fun OutputStream.paced(bytes: ByteArray) {
        bytes.asList().chunked(PIECE_BYTES).forEach {
            write(it.toByteArray())
            flush()
            park(PIECE_MILLIS)
        }
    }

    private fun park(millis: Long) = LockSupport.parkNanos(millis.milliseconds.inWholeNanoseconds)

    private companion object {
        /** 8 KB in 9 ms are 7 Mbit/s. */
        const val PIECE_BYTES = 8_192
        const val PIECE_MILLIS = 9L
        const val SILENT_MILLIS = 3_000L
        const val STALLED_BYTES = 15_000
        const val TRICKLED_BYTES = 500
        const val TRICKLED_PIECES = 100
        const val TRICKLE_MILLIS = 25L

        /** The timeout of a call, and what a loaded machine takes. */
        val NOTICED_WITHIN = 2.seconds

        /** Takes a second on the link. */
        val LARGE_SPEC = """{"text":"${"x".repeat(850_000)}"}"""
        val LARGE_ITEM = """{"kind":"sections","metadata":{"name":"models",""" +
            """"resourceVersion":"4"},"spec":$LARGE_SPEC}"""
    }
}
