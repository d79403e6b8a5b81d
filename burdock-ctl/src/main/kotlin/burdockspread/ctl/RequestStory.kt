/** The story of a request as its hosts logged it. */
package burdockspread.ctl

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * One decision that a forwarder logged.
 *
 * @property source name of the file.
 * @property fields what the decision rested on, by name.
 */
internal data class LogLine(
    val source: String,
    val time: Instant,
    val event: String,
    val fields: Map<String, String>,
) {
    fun render(): String {
        val details = fields.filter { (name, value) -> name !in LEFT_OUT && value.isNotEmpty() }
        return "$time  $source  $event  " +
            details.map { "${it.key}=${it.value}" }.joinToString(" ")
    }

    companion object {
        private val LEFT_OUT = setOf("event", "request")

        /** Reads a line; null when it is no decision. Text before the JSON is left out. */
        fun parse(source: String, text: String): LogLine? {
            val start = text.indexOf('{')
            if (start < 0) return null
            val line =
                try {
                    Json.parseToJsonElement(text.substring(start)) as? JsonObject
                } catch (_: SerializationException) {
                    // Standard output also carries what is no JSON, such as a crash report.
                    null
                }
            val message = line?.get("message") as? JsonObject ?: return null
            val fields = message.mapValues { (it.value as? JsonPrimitive)?.content.orEmpty() }
            val time = (line["time"] as? JsonPrimitive)?.content?.let(Instant::parseOrNull)
            val event = fields["event"]
            return if (time == null || event == null) null else LogLine(source, time, event, fields)
        }
    }
}

/** The lines of one request, with what its hosts learnt meanwhile. */
internal class RequestStory private constructor(
    private val own: List<LogLine>,
    private val context: List<LogLine>,
) {
    fun lines(): List<String> =
        (own + context).sortedBy { it.time }.map { it.render() } + "cause: ${cause()}"

    private fun cause(): String {
        val failed = own.filter { it.event == "attempt_failed" }
        val attempts = failed.joinToString("; ") {
            "attempt ${it.fields["attempt"]} at ${it.fields["target"]}: " +
                "${it.fields["outcome"]}, ${it.fields["detail"]}"
        }
        val last =
            own.lastOrNull { it.event in FINAL } ?: return "the request has no end; $attempts"
        val verdict = when (last.event) {
            "answered" -> "answered with ${last.fields["status"]} after ${last.fields["ms"]} ms"
            "refused", "turned_away" ->
                "refused with ${last.fields["status"]}, code ${last.fields["code"]}" +
                    " (${last.fields["truth"] ?: "NOT_RUN"}): ${last.fields["detail"]}"
            "broken_off" -> "broken off: ${last.fields["detail"]}"
            else -> "the caller left after ${last.fields["ms"]} ms"
        }
        return if (attempts.isEmpty()) verdict else "$verdict; $attempts"
    }

    companion object {
        private val FINAL = setOf("answered", "refused", "turned_away", "broken_off", "caller_gone")
        private val NEWS = setOf("store_lost", "store_regained", "configuration", "stopping")
        private val BEFORE = 5.seconds

        /** The story of [id], or null when no line names it. */
        fun of(id: String, lines: List<LogLine>): RequestStory? {
            val own = lines.filter { it.fields["request"] == id }.sortedBy { it.time }
            if (own.isEmpty()) return null
            val span = own.first().time - BEFORE..own.last().time
            val hosts = own.map { it.source }.toSet()
            val targets = own.mapNotNull { it.fields["target"] }.toSet()
            val context = lines.filter {
                it.time in span &&
                    it.source in hosts &&
                    it.fields["request"] == null &&
                    (it.event in NEWS || it.fields["target"] in targets)
            }
            return RequestStory(own, context)
        }
    }
}
