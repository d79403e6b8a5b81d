/** HTTP client of the system, as its users would write it. */
package burdockspread.demo

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.io.UncheckedIOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.time.TimeSource

/** Parameters of a generation request. */
public data class RequestSpec(
    public val prompt: String,
    public val maxTokens: Int,
    public val requestId: String,
    public val stream: Boolean = true,
    public val lastEventId: String? = null,
    public val apiKey: String = SKARJEVEC_KEY,
    public val isRetry: Boolean = false,
)

/** A server-sent event and the time of its arrival. */
public data class ReceivedEvent(
    public val event: String,
    public val id: String?,
    public val data: String,
    public val receivedAt: TimeSource.Monotonic.ValueTimeMark,
) {
    /** Number of tokens received up to and including this event. */
    public val tokens: Int get() = id?.substringAfterLast(':')?.toInt() ?: 0

    /** Text of the tokens in this event, empty if it has none. */
    public val text: String
        get() {
            if (!data.startsWith("{\"id\"")) return ""
            val choice = Json.parseToJsonElement(data).jsonObject["choices"]?.jsonArray?.first()
            return choice?.jsonObject?.get("text")?.jsonPrimitive?.content.orEmpty()
        }
}

/** Status and body of an unstreamed response. */
public data class HttpReply(public val status: Int, public val body: String)

/** Client that sends each request to a given entry host. */
public class Caller {
    private val client = HttpClient.newHttpClient()

    /** Streams the response of the entry host at [address] and passes each event to [onEvent]. */
    public fun stream(
        address: String,
        spec: RequestSpec,
        onEvent: (ReceivedEvent) -> Unit = {},
    ): List<ReceivedEvent> {
        val lines = client.send(
            completion(address, spec),
            HttpResponse.BodyHandlers.ofLines(),
        ).body()
        val received = mutableListOf<ReceivedEvent>()
        val parser = EventParser()
        try {
            lines.forEach { line ->
                parser.feed(line)?.let {
                    received += it
                    onEvent(it)
                }
            }
        } catch (e: UncheckedIOException) {
            return received // The connection broke; return the events received so far.
        }
        return received
    }

    /** Requests an unstreamed generation. */
    public fun fetch(address: String, spec: RequestSpec): HttpReply =
        send(completion(address, spec))

    /** Calls a plain service. */
    public fun call(
        address: String,
        path: String,
        body: String,
        idempotencyKey: String? = null,
        isFirstAttempt: Boolean = false,
    ): HttpReply {
        val builder = request("http://$address/v1/services/$path", SKARJEVEC_KEY, body)
        idempotencyKey?.let { builder.header("Idempotency-Key", it) }
        if (isFirstAttempt) builder.header("Idempotency-Attempt", "first")
        return send(builder.build())
    }

    /** Sends [body] unchanged, to test malformed requests. */
    public fun sendRaw(address: String, path: String, body: String, apiKey: String?): HttpReply =
        send(request("http://$address$path", apiKey, body).build())

    private fun send(request: HttpRequest): HttpReply {
        val response = client.send(request, HttpResponse.BodyHandlers.ofString())
        return HttpReply(response.statusCode(), response.body())
    }

    private fun completion(address: String, spec: RequestSpec): HttpRequest {
        val body =
            """
            {"model": "burdock-llm", "prompt": "${spec.prompt}", "max_tokens": ${spec.maxTokens},
             "stream": ${spec.stream}}
            """.trimIndent()
        val builder = request("http://$address/v1/completions", spec.apiKey, body)
        builder.header("X-Request-Id", spec.requestId)
        if (spec.isRetry) builder.header("Idempotency-Attempt", "retry")
        spec.lastEventId?.let { builder.header("Last-Event-ID", it) }
        return builder.build()
    }

    private fun request(url: String, apiKey: String?, body: String): HttpRequest.Builder {
        val builder = HttpRequest.newBuilder(URI(url))
        apiKey?.let { builder.header("Authorization", "Bearer $it") }
        return builder.POST(HttpRequest.BodyPublishers.ofString(body))
    }

    /** Parser of server-sent events, fed line by line. */
    private class EventParser {
        private var event = "message"
        private var id: String? = null
        private val data = StringBuilder()

        fun feed(line: String): ReceivedEvent? {
            when {
                line.startsWith("event:") -> event = line.substringAfter(":").trim()
                line.startsWith("id:") -> id = line.substringAfter(":").trim()
                line.startsWith("data:") -> data.append(line.substringAfter(":").trim())
                line.isEmpty() && data.isNotEmpty() -> return finishEvent()
            }
            return null
        }

        private fun finishEvent(): ReceivedEvent {
            val received = ReceivedEvent(event, id, "$data", TimeSource.Monotonic.markNow())
            event = "message"
            id = null
            data.clear()
            return received
        }
    }
}
