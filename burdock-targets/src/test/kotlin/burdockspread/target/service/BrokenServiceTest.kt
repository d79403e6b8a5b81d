package burdockspread.target.service

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Timeout
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTimedValue

/** Services whose responses are not HTTP, or end before they are complete. */
@Timeout(60)
class BrokenServiceTest {
    private val server = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
    private val connections = CopyOnWriteArrayList<Socket>()
    private val client = HttpServiceClient(5.seconds)

    @AfterEach
    fun stop() {
        client.close()
        server.close()
        connections.forEach { it.close() }
    }

    // Guards against a caller that gets a status which does not exist as the answer to its call.
    @Test
    fun `a response with an invalid status leaves the outcome unknown`() {
        for (status in listOf("000", "001", "099", "101", "600", "999", "1000")) {
            respond { socket ->
                socket.readHead()
                socket.write("HTTP/1.1 $status Odd\r\nContent-Length: 2\r\n\r\n{}")
            }
            val (result, took) = measureTimedValue { send("{}") }
            assertIs<ServiceResult.Unknown>(result, status)
            assertTrue(took < AT_ONCE, "$status: $took")
        }
    }

    @Test
    fun `a valid status is passed on`() {
        for (status in listOf(200, 404, 500, 599)) {
            respond { socket ->
                socket.readHead()
                socket.write("HTTP/1.1 $status X\r\nContent-Length: 2\r\n\r\n{}")
            }
            assertEquals(ServiceResult.Responded(status, "{}"), send("{}"))
        }
    }

    // Guards against a part of a response without length that is taken for the whole one.
    @Test
    fun `a response without length that is reset during the upload is not complete`() {
        repeat(20) {
            respond { socket ->
                socket.write("HTTP/1.1 200 OK\r\n\r\npart")
                socket.setSoLinger(true, 0)
                socket.close()
            }
            assertIs<ServiceResult.Unknown>(send(LONG_BODY))
        }
    }

    // Guards against the same where the whole upload has arrived.
    @Test
    fun `a response without length that is reset after the upload is not complete`() {
        repeat(20) {
            respond { socket ->
                socket.readHead()
                socket.getInputStream().readNBytes(2)
                socket.write("HTTP/1.1 200 OK\r\n\r\npart")
                socket.setSoLinger(true, 0)
                socket.close()
            }
            assertIs<ServiceResult.Unknown>(send("{}"))
        }
    }

    private fun send(body: String): ServiceResult {
        val address = "127.0.0.1:${server.localPort}"
        return runBlocking { client.send(ServiceCall(address, "book", body, "key", 5.seconds)) }
    }

    /** Handles the next connection with [handle]. */
    private fun respond(handle: (Socket) -> Unit) {
        thread(isDaemon = true) {
            try {
                server.accept().also { connections += it }.let(handle)
            } catch (e: IOException) {
                check(server.isClosed) { "the service broke: $e" }
            }
        }
    }

    private fun Socket.readHead() {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) head.append(getInputStream().read().toChar())
    }

    private fun Socket.write(text: String) = getOutputStream().write(text.encodeToByteArray())

    private companion object {
        /** Half of the timeout of a call. */
        val AT_ONCE = 2.5.seconds
        val LONG_BODY = "x".repeat(20_000_000)
    }
}
