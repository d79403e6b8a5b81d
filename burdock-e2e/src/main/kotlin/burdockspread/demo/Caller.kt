/** A caller of the system, as its users write them. */
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

/** A request for a generation. */
public data class Ask(
    public val prompt: String,
    public val maxTokens: Int,
    public val requestId: String,
    public val stream: Boolean = true,
    public val lastEvent: String? = null,
    public val key: String = SKARJEVEC_KEY,
    public val retry: Boolean = false,
)

/** One server-sent event with the time at which it came. */
public data class Received(
    public val event: String,
    public val id: String?,
    public val data: String,
    public val at: TimeSource.Monotonic.ValueTimeMark,
) {
    /** Number of tokens that the caller has with this event. */
    public val tokens: Int get() = id?.substringAfterLast(':')?.toInt() ?: 0

    /** Text of the tokens in this event. */
    public val text: String
        get() {
            if (!data.startsWith("{\"id\"")) return ""
            val choice = Json.parseToJsonElement(data).jsonObject["choices"]?.jsonArray?.first()
            return choice?.jsonObject?.get("text")?.jsonPrimitive?.content.orEmpty()
        }
}

/** A plain answer. */
public data class PlainAnswer(public val status: Int, public val body: String)

/** Sends requests to one entry host at a time. */
public class Caller {
    private val client = HttpClient.newHttpClient()

    /** Streams the answer from the entry host at [address]; [onEvent] sees each event. */
    public fun stream(
        address: String,
        ask: Ask,
        onEvent: (Received) -> Unit = {},
    ): List<Received> {
        val lines = client.send(
            completion(address, ask),
            HttpResponse.BodyHandlers.ofLines(),
        ).body()
        val received = mutableListOf<Received>()
        val parser = EventParser()
        try {
            lines.forEach { line ->
                parser.feed(line)?.let {
                    received += it
                    onEvent(it)
                }
            }
        } catch (e: UncheckedIOException) {
            return received // The connection broke; the caller keeps what it has.
        }
        return received
    }

    /** Asks for a whole answer. */
    public fun whole(address: String, ask: Ask): PlainAnswer = send(completion(address, ask))

    /** Calls a plain service. */
    public fun call(
        address: String,
        path: String,
        body: String,
        idempotencyKey: String? = null,
        firstSend: Boolean = false,
    ): PlainAnswer {
        val builder = request("http://$address/v1/services/$path", SKARJEVEC_KEY, body)
        idempotencyKey?.let { builder.header("Idempotency-Key", it) }
        if (firstSend) builder.header("Idempotency-Attempt", "first")
        return send(builder.build())
    }

    /** Sends [body] as it is, for requests that are not well formed. */
    public fun raw(address: String, path: String, body: String, key: String?): PlainAnswer =
        send(request("http://$address$path", key, body).build())

    private fun send(request: HttpRequest): PlainAnswer {
        val response = client.send(request, HttpResponse.BodyHandlers.ofString())
        return PlainAnswer(response.statusCode(), response.body())
    }

    private fun completion(address: String, ask: Ask): HttpRequest {
        val body =
            """
            {"model": "burdock-llm", "prompt": "${ask.prompt}", "max_tokens": ${ask.maxTokens},
             "stream": ${ask.stream}}
            """.trimIndent()
        val builder = request("http://$address/v1/completions", ask.key, body)
        builder.header("X-Request-Id", ask.requestId)
        if (ask.retry) builder.header("Idempotency-Attempt", "retry")
        ask.lastEvent?.let { builder.header("Last-Event-ID", it) }
        return builder.build()
    }

    private fun request(url: String, key: String?, body: String): HttpRequest.Builder {
        val builder = HttpRequest.newBuilder(URI(url))
        key?.let { builder.header("Authorization", "Bearer $it") }
        return builder.POST(HttpRequest.BodyPublishers.ofString(body))
    }

    /** Collects the lines of an event stream into events. */
    private class EventParser {
        private var event = "message"
        private var id: String? = null
        private val data = StringBuilder()

        fun feed(line: String): Received? {
            when {
                line.startsWith("event:") -> event = line.substringAfter(":").trim()
                line.startsWith("id:") -> id = line.substringAfter(":").trim()
                line.startsWith("data:") -> data.append(line.substringAfter(":").trim())
                line.isEmpty() && data.isNotEmpty() -> return take()
            }
            return null
        }

        private fun take(): Received {
            val received = Received(event, id, "$data", TimeSource.Monotonic.markNow())
            event = "message"
            id = null
            data.clear()
            return received
        }
    }
}
