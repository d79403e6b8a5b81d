package burdockspread.target.engine

import burdockspread.fakes.engine.EngineFault
import burdockspread.fakes.engine.EngineOptions
import burdockspread.fakes.engine.EngineServer
import burdockspread.fakes.engine.TextModel
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import java.net.ServerSocket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class HttpEngineClientTest {
    private val port = ServerSocket(0).use { it.localPort }
    private val engine = EngineServer(port, EngineOptions(tokenInterval = 1.milliseconds))
    private val client = HttpEngineClient(5.seconds)
    private val prompt = "Summary of shift B:"
    private val reference = TextModel().predict(prompt, 20)

    @BeforeEach
    fun start() = engine.start()

    @AfterEach
    fun stop() {
        client.close()
        engine.stop()
    }

    private fun call(prefixLength: Int = 0): EngineCall {
        val json = """{"model":"m","prompt":"$prompt","max_tokens":20}"""
        val body = assertNotNull(CompletionBody.parse(CompletionApi.COMPLETIONS, json).getOrNull())
        val prefix = reference.take(prefixLength).toImmutableList()
        return EngineCall("127.0.0.1:$port", body, prefix, 20 - prefixLength, 0)
    }

    private fun events(call: EngineCall): List<EngineEvent> =
        runBlocking { client.generate(call).toList() }

    private fun tokens(events: List<EngineEvent>): List<String> =
        events.filterIsInstance<EngineEvent.Tokens>().flatMap { it.tokens }

    @Test
    fun `reads a complete response with offsets`() {
        val events = events(call())
        assertEquals(reference, tokens(events))
        val offsets = events.filterIsInstance<EngineEvent.Tokens>().map { it.offset }
        assertEquals((0 until 20).toList(), offsets)
        assertEquals(EngineEvent.Finished("length", 20), events.last())
    }

    @Test
    fun `concurrent streams lose no chunk`() {
        val secondPort = ServerSocket(0).use { it.localPort }
        val options = EngineOptions(slots = STREAMS, tokenInterval = 2.milliseconds)
        val server = EngineServer(secondPort, options).also { it.start() }
        val call = call().copy(address = "127.0.0.1:$secondPort")
        val offsets = runBlocking(Dispatchers.Default) {
            List(STREAMS) { async { client.generate(call).toList() } }.awaitAll()
        }.map { events -> events.filterIsInstance<EngineEvent.Tokens>().map { it.offset } }
        server.stop()
        assertEquals(List(STREAMS) { (0 until 20).toList() }, offsets)
    }

    @Test
    fun `continues after a prefix`() {
        assertEquals(reference.drop(7), tokens(events(call(7))))
    }

    @Test
    fun `continues after a partial chat response`() {
        val json =
            """{"model":"m","messages":[{"role":"user","content":"$prompt"}],"max_tokens":20}"""
        val body = assertNotNull(CompletionBody.parse(CompletionApi.CHAT, json).getOrNull())
        val prefix = reference.take(4).toImmutableList()
        val events = events(EngineCall("127.0.0.1:$port", body, prefix, 16, 0))
        assertEquals(reference.drop(4), tokens(events))
    }

    @Test
    fun `a chunk that is sent twice keeps its offset`() {
        engine.injectFault(EngineFault.RESEND)
        val offsets = events(call()).filterIsInstance<EngineEvent.Tokens>().map { it.offset }
        assertEquals((0 until 20).flatMap { listOf(it, it) }, offsets)
    }

    @Test
    fun `reports a truncated response as a lost connection`() {
        engine.injectFault(EngineFault.SHORT)
        val last = events(call()).last() as EngineEvent.Failed
        assertEquals(EngineFailure.CONNECTION_LOST, last.cause)
    }

    @Test
    fun `distinguishes an unreachable engine from a failing one`() {
        engine.injectFault(EngineFault.ERROR)
        assertEquals(
            EngineFailure.ENGINE_FAULT,
            (events(call()).single() as EngineEvent.Failed).cause,
        )
        engine.stop()
        assertEquals(
            EngineFailure.UNREACHABLE,
            (events(call()).single() as EngineEvent.Failed).cause,
        )
    }

    @Test
    fun `rejects a malformed body with the reason`() {
        val texts = persistentListOf("{", "[]", "{}", """{"model":"m"}""", BAD_TOKENS)
        val details = texts.map {
            CompletionBody.parse(CompletionApi.COMPLETIONS, it).leftOrNull()?.detail
        }
        val expected =
            listOf(
                "not valid JSON",
                "an object is expected",
                "model: a name is needed",
                "prompt: a string is needed",
                "max_tokens: a positive integer is needed",
            )
        assertEquals(expected, details)
    }

    private companion object {
        const val STREAMS = 200
        const val BAD_TOKENS = """{"model":"m","prompt":"p","max_tokens":-1}"""
    }
}
