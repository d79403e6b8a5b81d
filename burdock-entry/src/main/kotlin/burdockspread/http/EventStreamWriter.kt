/** Responses as streams of server-sent events. */
package burdockspread.http

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.id.RequestId
import burdockspread.journal.EventId
import burdockspread.stream.ResponseEnd
import burdockspread.stream.ResponsePart
import burdockspread.stream.ResponseReader
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration

/**
 * Writes one response as server-sent events. The `id` of each event consists of the generation, its
 * branch and the offset; the caller sends it as `Last-Event-ID` to resume the stream.
 */
internal class EventStreamWriter(
    private val out: ByteWriteChannel,
    private val format: ResponseFormatter,
    private val request: RequestId,
    private val writeTimeout: Duration,
) {
    /** Writes all parts of [reader]; returns false if the caller read too slowly. */
    suspend fun write(reader: ResponseReader): Boolean {
        var inTime = true
        if (reader.restarted) inTime = send(restart(reader))
        reader.parts().collect { part ->
            if (inTime) inTime = send(text(part))
        }
        return inTime
    }

    private suspend fun send(text: String): Boolean = withTimeoutOrNull(writeTimeout) {
        out.writeStringUtf8(text)
        out.flush()
    } != null

    private fun text(part: ResponsePart): String = when (part) {
        is ResponsePart.Tokens -> {
            val chunk = format.chunk(part.tokens.joinToString(""), null)
            event(part.event, chunk)
        }
        is ResponsePart.End -> end(part.event, part.end)
    }

    private fun end(id: EventId, end: ResponseEnd): String = when (end) {
        is ResponseEnd.Completed ->
            event(id, format.chunk("", end.reason.wireName)) + "data: [DONE]\n\n"
        is ResponseEnd.Aborted -> "event: error\ndata: ${errorJson(end.refusal, request)}\n\n"
    }

    private fun restart(reader: ResponseReader): String {
        val data = callerJson.encodeToString(RestartJson(reader.generation.value, 0))
        return "event: restart\ndata: $data\n\n"
    }

    private fun event(id: EventId, data: String): String = "id: ${id.format()}\ndata: $data\n\n"

    companion object {
        /** Refusal for a caller that read too slowly. */
        val SLOW_READER: Refusal =
            Refusal(ErrorCode.SLOW_READER, "the caller read too slowly; reconnect to resume")
    }
}
