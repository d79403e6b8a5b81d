/** JSON representation of the chunks in an engine's event stream. */
package burdockspread.target.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
internal data class EngineChunk(
    val choices: List<EngineChoice> = emptyList(),
    val usage: EngineUsage? = null,
)

@Serializable
internal data class EngineChoice(
    val text: String? = null,
    val delta: EngineDelta? = null,
    @SerialName("finish_reason") val finishReason: String? = null,
) {
    val generatedText: String get() = text ?: delta?.content.orEmpty()
}

@Serializable
internal data class EngineDelta(val content: String? = null)

@Serializable
internal data class EngineUsage(
    @SerialName("completion_tokens") val completionTokens: Int = 0,
    @SerialName("prompt_tokens_details") val details: EnginePromptDetails? = null,
)

@Serializable
internal data class EnginePromptDetails(@SerialName("cached_tokens") val cachedTokens: Int? = null)
