/** JSON that callers receive. */
package burdockspread.http

import burdockspread.error.Refusal
import burdockspread.id.RequestId
import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Writes callers' JSON; absent values are left out. */
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

/** The JSON of [refusal]. */
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

/** A whole answer, or one chunk of it. */
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

/** Tells a caller that an earlier answer was given up and this one starts from nothing. */
@Serializable
internal data class RestartJson(val generation: String, val offset: Int)
