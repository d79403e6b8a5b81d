/** Readers of responses. */
package burdockspread.stream

import burdockspread.generation.TokenLog
import burdockspread.id.GenerationId
import burdockspread.journal.EventId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.flow

/** Part of a response. */
public sealed interface ResponsePart {
    /** Next tokens of the response; [event] identifies the position after them. */
    public data class Tokens(public val event: EventId, public val tokens: ImmutableList<String>) :
        ResponsePart

    /** End of the response. */
    public data class End(public val event: EventId, public val end: ResponseEnd) : ResponsePart
}

/** Reads a response from an offset. Closing it tells the generation that the caller has left. */
public interface ResponseReader : AutoCloseable {
    /** Generation whose response is read. */
    public val generation: GenerationId

    /** Whether this response replaces an earlier one, which the caller is told to discard. */
    public val restarted: Boolean

    /** Returns the parts of the response, [ResponsePart.End] as the last one. */
    public fun parts(): Flow<ResponsePart>
}

/**
 * Reader for the response of a generation on this host.
 *
 * It keeps a position in the shared token log rather than a buffer, so a slow caller uses no
 * additional memory.
 */
internal class LocalReader(
    private val start: EventId,
    override val restarted: Boolean,
    private val tokens: TokenLog,
    private val progress: StateFlow<Progress>,
    private val onClose: () -> Unit,
) : ResponseReader {
    override val generation: GenerationId get() = start.generation

    override fun parts(): Flow<ResponsePart> = flow {
        var next = start.offset
        while (true) {
            val state = progress.first { it.released > next || it.end != null }
            if (state.released > next) {
                val newTokens = tokens.slice(next, state.released)
                next = state.released
                emit(ResponsePart.Tokens(start.copy(offset = next), newTokens))
            } else {
                emit(ResponsePart.End(start.copy(offset = next), checkNotNull(state.end)))
                return@flow
            }
        }
    }

    override fun close(): Unit = onClose()
}

/** Reader for a response whose [parts] come from another host or a journal copy. */
internal class RemoteReader(
    override val generation: GenerationId,
    private val parts: Flow<ResponsePart>,
) : ResponseReader {
    override val restarted: Boolean get() = false

    override fun parts(): Flow<ResponsePart> = parts

    override fun close(): Unit = Unit
}
