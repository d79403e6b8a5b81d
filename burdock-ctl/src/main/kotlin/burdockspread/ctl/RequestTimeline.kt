/** Timeline of a request, reconstructed from the logs of its hosts. */
package burdockspread.ctl

import burdockspread.json.parseBounded
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * A logged decision of a forwarder.
 *
 * @property source name of the log file.
 * @property fields inputs and result of the decision, by field name.
 */
internal data class LogLine(
    val source: String,
    val time: Instant,
    val event: String,
    val fields: Map<String, String>,
) {
    fun render(): String {
        val details = fields.filter { (name, value) -> name !in OMITTED && value.isNotEmpty() }
        return "$time  $source  $event  " +
            details.map { "${it.key}=${it.value}" }.joinToString(" ")
    }

    companion object {
        private val OMITTED = setOf("event", "request")

        /** Parses a line, skipping text before the JSON; returns null if it logs no decision. */
        fun parse(source: String, text: String): LogLine? {
            val start = text.indexOf('{')
            if (start < 0) return null
            val line =
                try {
                    Json.parseBounded(text.substring(start)) as? JsonObject
                } catch (_: SerializationException) {
                    // Standard output also carries non-JSON text, such as a JVM crash report.
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

/** The log lines of one request, with related events that its hosts logged meanwhile. */
internal class RequestTimeline private constructor(
    private val requestLines: List<LogLine>,
    private val hostLines: List<LogLine>,
) {
    fun lines(): List<String> =
        (requestLines + hostLines).sortedBy { it.time }.map { it.render() } + "cause: ${cause()}"

    private fun cause(): String {
        val failed = requestLines.filter { it.event == "attempt_failed" }
        val attempts = failed.joinToString("; ") {
            "attempt ${it.fields["attempt"]} at ${it.fields["target"]}: " +
                "${it.fields["outcome"]}, ${it.fields["detail"]}"
        }
        val last =
            requestLines.lastOrNull { it.event in END_EVENTS } ?: return "no final event; $attempts"
        val summary = when (last.event) {
            "responded" -> "responded with ${last.fields["status"]} after ${last.fields["ms"]} ms"
            "refused", "rejected" ->
                "refused with ${last.fields["status"]}, code ${last.fields["code"]}" +
                    " (${last.fields["truth"] ?: "NOT_RUN"}): ${last.fields["detail"]}"
            "response_aborted" -> "aborted: ${last.fields["detail"]}"
            else -> "the caller left after ${last.fields["ms"]} ms"
        }
        return if (attempts.isEmpty()) summary else "$summary; $attempts"
    }

    companion object {
        private val END_EVENTS =
            setOf("responded", "refused", "rejected", "response_aborted", "caller_disconnected")
        private val HOST_EVENTS =
            setOf("store_lost", "store_reconnected", "configuration", "stopping")
        private val LEAD_TIME = 5.seconds
        private val VERDICT = Regex("verdict (\\S+)")

        /** Returns the timeline of request [id], or null if no line names it. */
        fun of(id: String, lines: List<LogLine>): RequestTimeline? {
            val requestLines = lines.filter { it.fields["request"] == id }.sortedBy { it.time }
            if (requestLines.isEmpty()) return null
            val span = requestLines.first().time - LEAD_TIME..requestLines.last().time
            val hosts = requestLines.map { it.source }.toSet()
            val targets = requestLines.mapNotNull { it.fields["target"] }.toSet()
            val verdicts = requestLines.mapNotNull { line ->
                VERDICT.find(line.fields["detail"].orEmpty())?.groupValues?.get(1)
            }.toSet()
            val hostLines = lines.filter {
                it.time in span &&
                    it.source in hosts &&
                    it.fields["request"] == null &&
                    (it.event in HOST_EVENTS || it.fields["target"] in targets)
            }
            // What a host believes of a target since its start may come from its first list.
            val listLines = lines.filter {
                it.event == "store_listed" && it.source in hosts && it.time <= span.endInclusive
            }.groupBy { it.source to it.fields["kind"] }.map { it.value.last() }
            // Any host may have reached the verdict, hours ago.
            val verdictLines = lines.filter { it.fields["verdict"] in verdicts }
            return RequestTimeline(
                requestLines,
                (hostLines + listLines + verdictLines).distinct(),
            )
        }
    }
}
