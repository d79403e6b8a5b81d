/** Body of a completion request, as received from a caller and as sent to an engine. */
package burdockspread.target.engine

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.id.ModelId
import burdockspread.json.parseBounded
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.add
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.put

/**
 * Validated body of a completion request. Unknown fields are passed through to the engine.
 *
 * @property model requested model.
 * @property maxTokens maximum number of tokens to generate.
 * @property stream whether the caller requested an event stream.
 * @property priority name of the priority, or null for the organisation's default.
 * @property promptText text of the whole prompt, for prefix matching.
 */
public class CompletionBody private constructor(
    public val api: CompletionApi,
    public val model: ModelId,
    public val maxTokens: Int,
    public val stream: Boolean,
    public val priority: String?,
    public val promptText: String,
    private val json: JsonObject,
) {
    /** Returns the body as JSON text, from which [parse] creates an equal body. */
    public fun text(): String = json.toString()

    /** Returns the request body for an engine that continues after the prefix of [call]. */
    internal fun toEngineJson(call: EngineCall): JsonObject = buildJsonObject {
        json.forEach { (key, value) -> if (key !in OVERRIDDEN_KEYS) put(key, value) }
        put("stream", true)
        put("stream_options", STREAM_OPTIONS)
        put("max_tokens", call.maxTokens)
        put("priority", call.priority)
        if (call.prefix.isNotEmpty()) putContinuation(call.prefix.joinToString(""))
    }

    private fun JsonObjectBuilder.putContinuation(prefix: String) {
        when (api) {
            CompletionApi.COMPLETIONS -> put("prompt", promptText + prefix)
            CompletionApi.CHAT -> {
                put("messages", withPartialAnswer(prefix))
                put("continue_final_message", true)
                put("add_generation_prompt", false)
            }
        }
    }

    private fun withPartialAnswer(prefix: String): JsonArray = buildJsonArray {
        (json["messages"] as JsonArray).forEach { add(it) }
        add(
            buildJsonObject {
                put("role", "assistant")
                put("content", prefix)
            },
        )
    }

    public companion object {
        private const val DEFAULT_MAX_TOKENS = 16
        private val OVERRIDDEN_KEYS = setOf("stream", "stream_options", "max_tokens", "priority")
        private val STREAM_OPTIONS =
            buildJsonObject {
                put("include_usage", true)
                put("continuous_usage_stats", true)
            }

        /** Parses and validates the JSON [text] that a caller sent to [api]. */
        public fun parse(api: CompletionApi, text: String): Either<Refusal, CompletionBody> =
            either {
                val json = parseObject(text)
                val model =
                    ensureNotNull(json.string("model")) { malformed("model: a name is needed") }
                val prompt = promptText(api, json)
                val tokens = maxTokens(json)
                val stream = (json["stream"] as? JsonPrimitive)?.booleanOrNull ?: false
                val priority = json.string("priority")
                CompletionBody(api, ModelId(model), tokens, stream, priority, prompt, json)
            }

        private fun Raise<Refusal>.parseObject(text: String): JsonObject {
            val element =
                try {
                    Json.parseBounded(text)
                } catch (e: SerializationException) {
                    raise(malformed("not valid JSON"))
                }
            return element as? JsonObject ?: raise(malformed("an object is expected"))
        }

        private fun Raise<Refusal>.promptText(api: CompletionApi, json: JsonObject): String =
            when (api) {
                CompletionApi.COMPLETIONS ->
                    ensureNotNull(json.string("prompt")) { malformed("prompt: a string is needed") }
                CompletionApi.CHAT -> {
                    val messages = json["messages"] as? JsonArray
                    ensure(!messages.isNullOrEmpty()) { malformed("messages: a list is needed") }
                    messages.joinToString("") { messageText(it) }
                }
            }

        private fun Raise<Refusal>.messageText(message: JsonElement): String {
            val content = (message as? JsonObject)?.string("content")
            return ensureNotNull(content) { malformed("messages: each needs a string as content") }
        }

        private fun Raise<Refusal>.maxTokens(json: JsonObject): Int {
            val given = json["max_tokens"] ?: return DEFAULT_MAX_TOKENS
            val tokens = (given as? JsonPrimitive)?.intOrNull ?: 0
            ensure(tokens > 0) { malformed("max_tokens: a positive integer is needed") }
            return tokens
        }

        private fun JsonObject.string(key: String): String? =
            (this[key] as? JsonPrimitive)?.takeIf { it.isString }?.contentOrNull

        private fun malformed(detail: String): Refusal =
            Refusal(ErrorCode.MALFORMED_REQUEST, detail)
    }
}
