/** One caller's view of an answer. */
package burdockspread.stream

import burdockspread.generation.TokenLog
import burdockspread.id.GenerationId
import burdockspread.journal.EventId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.flow

/** A piece of an answer. */
public sealed interface AnswerPart {
    /** Tokens that follow those read before; [event] is what the caller has with them. */
    public data class Tokens(public val event: EventId, public val tokens: ImmutableList<String>) :
        AnswerPart

    /** The last part. */
    public data class End(public val event: EventId, public val end: AnswerEnd) : AnswerPart
}

/** Reads an answer from an offset on. Closing tells the generation that this caller left. */
public interface AnswerReader : AutoCloseable {
    /** The generation that is read. */
    public val generation: GenerationId

    /** Whether an earlier answer to the same request was given up openly. */
    public val restarted: Boolean

    /** The parts of the answer, [AnswerPart.End] as the last one. */
    public fun parts(): Flow<AnswerPart>
}

/**
 * Reads the answer of a generation on this host.
 *
 * The reader holds a place in the shared log and no tokens of its own, so a slow caller costs no
 * memory.
 */
internal class LocalReader(
    private val start: EventId,
    override val restarted: Boolean,
    private val tokens: TokenLog,
    private val progress: StateFlow<Progress>,
    private val onClose: () -> Unit,
) : AnswerReader {
    override val generation: GenerationId get() = start.generation

    override fun parts(): Flow<AnswerPart> = flow {
        var next = start.offset
        while (true) {
            val state = progress.first { it.released > next || it.end != null }
            if (state.released > next) {
                val fresh = tokens.slice(next, state.released)
                next = state.released
                emit(AnswerPart.Tokens(start.copy(offset = next), fresh))
            } else {
                emit(AnswerPart.End(start.copy(offset = next), checkNotNull(state.end)))
                return@flow
            }
        }
    }

    override fun close(): Unit = onClose()
}

/** Reads an answer that [parts] brings from another host. */
internal class RemoteReader(
    override val generation: GenerationId,
    private val parts: Flow<AnswerPart>,
) : AnswerReader {
    override val restarted: Boolean get() = false

    override fun parts(): Flow<AnswerPart> = parts

    override fun close(): Unit = Unit
}
