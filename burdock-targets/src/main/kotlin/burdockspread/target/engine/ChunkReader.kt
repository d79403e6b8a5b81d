/** Conversion of an attempt's response chunks to events with token offsets. */
package burdockspread.target.engine

import burdockspread.json.decodeBounded
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * Parser for the data lines of one attempt.
 *
 * The cumulative token count in each chunk's usage determines its offset, so that a chunk that was
 * sent twice gets the same offset both times. A chunk without a count holds one token.
 */
internal class ChunkReader {
    private var nextOffset = 0
    private var reason: String? = null

    /** Returns the event for one [data] line, or null if the line carries none. */
    fun read(data: String): EngineEvent? = if (data == DONE) finish() else readChunk(data)

    /** Returns the event for a stream that ended without the `[DONE]` line. */
    fun onStreamEnd(): EngineEvent =
        finish() ?: EngineEvent.Failed(EngineFailure.CONNECTION_LOST, "stream ended early")

    private fun finish(): EngineEvent? = reason?.let { EngineEvent.Finished(it, nextOffset) }

    private fun readChunk(data: String): EngineEvent? {
        val chunk =
            try {
                json.decodeBounded<EngineChunk>(data)
            } catch (e: SerializationException) {
                return EngineEvent.Failed(EngineFailure.ENGINE_FAULT, "chunk is not valid JSON")
            }
        val choice = chunk.choices.firstOrNull() ?: return null
        choice.finishReason?.let { reason = it }
        if (choice.generatedText.isEmpty()) return null
        val counted = chunk.usage?.completionTokens ?: (nextOffset + 1)
        val count = (counted - nextOffset).coerceAtLeast(1)
        val offset = counted - count
        nextOffset = maxOf(nextOffset, counted)
        return EngineEvent.Tokens(
            offset,
            split(choice.generatedText, count),
            chunk.usage?.details?.cachedTokens,
        )
    }

    /** Splits a chunk into [count] tokens, the text in the first, so that offsets stay correct. */
    private fun split(generatedText: String, count: Int) = when (count) {
        1 -> persistentListOf(generatedText)
        else -> (listOf(generatedText) + List(count - 1) { "" }).toImmutableList()
    }

    private companion object {
        const val DONE = "[DONE]"
        val json = Json { ignoreUnknownKeys = true }
    }
}
