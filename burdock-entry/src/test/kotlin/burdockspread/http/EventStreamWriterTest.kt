package burdockspread.http

import burdockspread.generation.FinishReason
import burdockspread.id.GenerationId
import burdockspread.id.HostId
import burdockspread.id.RequestId
import burdockspread.journal.BranchId
import burdockspread.journal.EventId
import burdockspread.stream.RemoteReader
import burdockspread.stream.ResponseEnd
import burdockspread.stream.ResponsePart
import burdockspread.target.engine.CompletionApi
import burdockspread.target.engine.CompletionBody
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.readRemaining
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.async
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.io.readString
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class EventStreamWriterTest {
    private val out = ByteChannel()
    private val generation = GenerationId("g")
    private val event = EventId(generation, BranchId(1, HostId("h"), 7), 0)

    private fun stream(): EventStreamWriter {
        val json = """{"model":"m","prompt":"p"}"""
        val body = CompletionBody.parse(CompletionApi.COMPLETIONS, json).getOrNull()
        val format = ResponseFormatter(assertNotNull(body), generation)
        return EventStreamWriter(out, format, RequestId("r"), writeTimeout = 5.seconds)
    }

    private fun reader(tokens: Int): RemoteReader = RemoteReader(
        generation,
        flow {
            repeat(tokens) {
                val token = persistentListOf("token-$it")
                emit(ResponsePart.Tokens(event.copy(offset = it + 1), token))
            }
            val end = ResponseEnd.Completed(FinishReason.STOP)
            emit(ResponsePart.End(event.copy(offset = tokens), end))
        },
    )

    @Test
    fun `the stream to a caller that never reads ends after the write timeout`() = runTest {
        assertFalse(stream().write(reader(tokens = 20_000)))
        assertTrue(testScheduler.currentTime >= 5_000)
    }

    @Test
    fun `a caller that reads receives every token with its offset`() = runTest {
        val text = readAll { assertTrue(stream().write(reader(tokens = 500))) }
        repeat(500) { assertContains(text, "\"token-$it\"") }
        assertContains(text, "id: ${event.copy(offset = 500).format()}\n")
        assertTrue(text.endsWith("data: [DONE]\n\n"))
    }

    private suspend fun TestScope.readAll(write: suspend () -> Unit): String {
        val text = async { out.readRemaining().readString() }
        write()
        out.flushAndClose()
        return text.await()
    }
}
