package burdockspread.forward.http

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import org.junit.jupiter.api.Timeout
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.Test

/** Targets that reset each connection as soon as it is open. */
@Timeout(60)
class BrokenConnectionTest {
    // Guards against a request that waited for its deadline, since its connection broke early.
    @Test
    fun `a request on a connection that is reset at once is reported`() {
        val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
        thread(isDaemon = true) {
            while (true) server.accept().use { it.setSoLinger(true, 0) }
        }
        val transport = Transport()
        val connections = Connections(transport, transport.requests)
        repeat(50) {
            val outcome = CompletableFuture<String>()
            transport.requests.execute {
                val request =
                    DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.GET,
                        "/",
                        Unpooled.EMPTY_BUFFER,
                    )
                val address = "127.0.0.1:${server.localPort}"
                connections.send(address, request, OutcomeHandler(outcome))
            }
            outcome.get(5, TimeUnit.SECONDS)
        }
        transport.close()
    }
}
