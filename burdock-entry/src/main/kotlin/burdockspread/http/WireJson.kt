/** JSON bodies of responses to callers. */
package burdockspread.http

import burdockspread.error.Refusal
import burdockspread.id.RequestId
import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** JSON format of responses to callers; null values are omitted. */
internal val callerJson: Json = Json { explicitNulls = false }

@Serializable
internal data class ErrorBody(val error: ErrorDetail)

@Serializable
internal data class ErrorDetail(
    val code: Int,
    val type: String,
    val message: String,
    val truth: String,
    val retryable: Boolean,
    @SerialName("retry_after_ms") val retryAfterMillis: Long?,
    @SerialName("request_id") val requestId: String,
)

/** Returns the JSON error body for [refusal]. */
internal fun errorJson(refusal: Refusal, request: RequestId): String {
    val detail =
        ErrorDetail(
            refusal.code.number,
            refusal.code.name,
            refusal.detail,
            refusal.executionOutcome.name,
            refusal.code.retryable,
            refusal.retryAfter?.inWholeMilliseconds,
            request.value,
        )
    return callerJson.encodeToString(ErrorBody(detail))
}

/** Complete response, or one chunk of a streamed one. */
@Serializable
internal data class CompletionJson(
    val id: String,
    @SerialName("object") val kind: String,
    val model: String,
    val choices: List<ChoiceJson>,
    val usage: UsageJson? = null,
)

@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class ChoiceJson(
    @EncodeDefault val index: Int = 0,
    val text: String? = null,
    val message: MessageJson? = null,
    val delta: MessageJson? = null,
    @SerialName("finish_reason") val finishReason: String? = null,
)

@Serializable
internal data class MessageJson(val role: String? = null, val content: String)

@Serializable
internal data class UsageJson(@SerialName("completion_tokens") val completionTokens: Int)

/** Notice to a caller that an earlier response was discarded and this one starts from scratch. */
@Serializable
internal data class RestartJson(val generation: String, val offset: Int)
