package burdockspread.target

import burdockspread.target.engine.EngineLoad
import burdockspread.target.engine.HttpEngineLoadClient
import burdockspread.target.engine.LoadResult
import burdockspread.target.order.HttpOrderClient
import com.sun.net.httpserver.HttpServer
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Timeout
import java.net.InetAddress
import java.net.InetSocketAddress
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** Reports of engines in which one element is odd. */
@Timeout(60)
class OddReportsTest {
    @Volatile
    private var answer = ""
    private val server =
        HttpServer.create(InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0)
    private val address get() = "127.0.0.1:${server.address.port}"

    @BeforeEach
    fun start() {
        server.createContext("/") { exchange ->
            val body = answer.toByteArray(Charsets.ISO_8859_1)
            exchange.sendResponseHeaders(200, body.size.toLong())
            exchange.responseBody.use { it.write(body) }
        }
        server.start()
    }

    @AfterEach
    fun stop(): Unit = server.stop(0)

    // Guards against an engine that got no more orders, since one of its models had no version.
    @Test
    fun `a model without version costs no other`() = runBlocking {
        answer = """{"models":{"a":"v1","b":null,"c":[],"d":{},"e":"v2","\u00ff":"\u00ff"}}"""
        val models = HttpOrderClient(10.seconds).use { it.state(address)?.models }
        val known = models?.filterKeys { it in listOf("a", "b", "c", "d", "e") }
        assertEquals(mapOf("a" to "v1", "e" to "v2"), known)
    }

    // Guards against a busy engine that looked idle.
    @Test
    fun `a gauge that is no number costs no other`() = runBlocking {
        answer = listOf("NaN", "+Inf", "-Inf", "x", "", "1e400", "\u00ff", "3").flatMap {
            listOf("vllm:num_requests_running{m=\"$it\"} $it", "vllm:num_requests_waiting $it")
        }.joinToString("\n")
        val load = HttpEngineLoadClient(10.seconds).use { it.load(address) }
        assertEquals(LoadResult.Load(EngineLoad(running = 3, waiting = 3)), load)
    }
}
