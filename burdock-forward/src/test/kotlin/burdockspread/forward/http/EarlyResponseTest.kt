package burdockspread.forward.http

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Timeout
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals

/** Targets that respond to a long upload before they have read it. */
@Timeout(60)
class EarlyResponseTest {
    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val transport = Transport()
    private val connections = Connections(transport, transport.requests)

    @AfterEach
    fun close() {
        server.close()
        transport.close()
    }

    // Guards against a part of a response without length that is forwarded as complete.
    @Test
    fun `a response without length that is reset during the upload is not complete`() {
        repeat(20) {
            val outcome = send(PART) { socket ->
                socket.setSoLinger(true, 0)
                socket.close()
            }
            assertEquals("broken", outcome)
        }
    }

    // Guards against the same where the connection ends in order, though the target stops reading.
    @Test
    fun `a response without length that ends during the upload is not complete`() {
        repeat(20) { assertEquals("broken", send(PART) { it.shutdownOutput() }) }
    }

    @Test
    fun `a response with a length is complete before the upload is`() {
        val response = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart"
        repeat(5) { assertEquals("end", send(response) { }) }
    }

    @Test
    fun `a response without length that ends after the upload is complete`() {
        repeat(5) {
            val outcome = send(PART, uploadBytes = 100) { socket ->
                readHead(socket)
                socket.getInputStream().readNBytes(100)
                socket.shutdownOutput()
            }
            assertEquals("end", outcome)
        }
    }

    /** Sends an upload to a target that responds with [response] at once and then does [end]. */
    private fun send(
        response: String,
        uploadBytes: Int = UNREAD_BYTES,
        end: (Socket) -> Unit,
    ): String {
        val outcome = CompletableFuture<String>()
        var target: Socket? = null
        val answering = thread(isDaemon = true) {
            val socket = server.accept().also { target = it }
            socket.getInputStream().read()
            socket.getOutputStream().write(response.encodeToByteArray())
            end(socket)
        }
        transport.requests.execute {
            val request = DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.POST,
                "/",
                Unpooled.wrappedBuffer(ByteArray(uploadBytes)),
            )
            request.headers()["Content-Length"] = uploadBytes
            val address = "127.0.0.1:${server.localPort}"
            connections.send(address, request, OutcomeHandler(outcome))
        }
        return outcome.get(10, TimeUnit.SECONDS).also {
            answering.join()
            target?.close()
        }
    }

    private fun readHead(socket: Socket) {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) head.append(socket.getInputStream().read().toChar())
    }

    private companion object {
        const val PART = "HTTP/1.1 200 OK\r\n\r\npart"

        /** More than the buffers of both ends of a connection hold. */
        const val UNREAD_BYTES = 64_000_000
    }
}
