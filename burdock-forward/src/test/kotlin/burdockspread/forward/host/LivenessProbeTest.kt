package burdockspread.forward.host

import burdockspread.forward.http.Connections
import burdockspread.forward.http.ProbeResult
import burdockspread.forward.http.Transport
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.SocketException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** What a probe says about its target. */
class LivenessProbeTest {
    // Guards against a sound target that was given up, since it had no connection left.
    @Test
    fun `a target that resets a probe beyond its connection limit does not count as dead`() {
        val server = ServerSocket(0, 10, InetAddress.getLoopbackAddress())
        thread(isDaemon = true) {
            while (true) {
                server.accept().use {
                    it.getInputStream().read()
                    it.setSoLinger(true, 0)
                }
            }
        }
        assertEquals(ProbeResult.ALIVE, probe("127.0.0.1:${server.localPort}"))
    }

    // A crash is told from a machine that went dark by the refusal.
    @Test
    fun `a target that has stopped refuses the probe`() {
        val port = freePort()
        assertEquals(ProbeResult.REFUSED, probe("127.0.0.1:$port"))
    }

    @Test
    fun `a target that does not answer is silent`() {
        ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")).use { server ->
            assertEquals(ProbeResult.SILENT, probe("127.0.0.1:${server.localPort}"))
        }
    }

    // Guards against requests that waited while bodies without an end filled the links.
    @Test
    fun `a response without an end is read up to a limit only`() {
        val sent = CompletableFuture<Long>()
        ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")).use { server ->
            thread(isDaemon = true) {
                server.accept().use { sent.complete(sendUntilClosed(it.getOutputStream())) }
            }
            assertEquals(ProbeResult.SILENT, probe("127.0.0.1:${server.localPort}"))
        }
        val bytes = sent.get(2, TimeUnit.SECONDS)
        assertTrue(bytes < MAX_SENT_BYTES, "$bytes bytes were sent")
    }

    private fun sendUntilClosed(output: OutputStream): Long {
        output.write("HTTP/1.1 200 OK\r\n\r\n".encodeToByteArray())
        val chunk = ByteArray(CHUNK_BYTES)
        var sent = 0L
        try {
            while (true) {
                output.write(chunk)
                sent += chunk.size
            }
        } catch (e: SocketException) {
            return sent
        }
    }

    private fun freePort(): Int =
        ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")).use { it.localPort }

    private fun probe(address: String): ProbeResult {
        val transport = Transport()
        val result = CompletableFuture<ProbeResult>()
        transport.requests.execute {
            val connections = Connections(transport, transport.requests)
            val request = DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.GET,
                "/",
                Unpooled.EMPTY_BUFFER,
            )
            LivenessProbe(connections, transport.requests, onResult = result::complete)
                .start(address, request)
        }
        return result.get(2, TimeUnit.SECONDS).also { transport.close() }
    }

    private companion object {
        const val CHUNK_BYTES = 16_384

        /** Twice the largest send buffer; the receive buffer grows only as it is read. */
        const val MAX_SENT_BYTES = 8_388_608L
    }
}
