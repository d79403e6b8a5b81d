/** Response bodies of the completion APIs. */
package burdockspread.http

import burdockspread.id.GenerationId
import burdockspread.target.engine.CompletionApi
import burdockspread.target.engine.CompletionBody

/** Formats the response to [body] for the API that the caller used; [id] is the generation's. */
internal class ResponseFormatter(private val body: CompletionBody, private val id: GenerationId) {
    /** Returns one chunk of a streamed response. */
    fun chunk(text: String, finishReason: String?): String = when (body.api) {
        CompletionApi.COMPLETIONS ->
            encode("text_completion", ChoiceJson(text = text, finishReason = finishReason))
        CompletionApi.CHAT -> {
            val delta = MessageJson(content = text)
            val choice = ChoiceJson(delta = delta, finishReason = finishReason)
            encode("chat.completion.chunk", choice)
        }
    }

    /** Returns a complete response of [tokens] tokens. */
    fun complete(text: String, finishReason: String, tokens: Int): String {
        val usage = UsageJson(tokens)
        return when (body.api) {
            CompletionApi.COMPLETIONS -> {
                val choice = ChoiceJson(text = text, finishReason = finishReason)
                encode("text_completion", choice, usage)
            }
            CompletionApi.CHAT -> {
                val message = MessageJson("assistant", text)
                val choice = ChoiceJson(message = message, finishReason = finishReason)
                encode("chat.completion", choice, usage)
            }
        }
    }

    private fun encode(kind: String, choice: ChoiceJson, usage: UsageJson? = null): String {
        val value = CompletionJson(id.value, kind, body.model.value, listOf(choice), usage)
        return callerJson.encodeToString(value)
    }
}
