/** One caller's view of an answer. */
package burdockspread.stream

import burdockspread.generation.TokenLog
import burdockspread.id.GenerationId
import burdockspread.journal.BranchId
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

/**
 * Reads an answer from [offset] on.
 *
 * The reader holds a place in the shared log and no tokens of its own, so a slow caller costs no
 * memory.
 *
 * @property restarted whether an earlier answer to the same request was given up openly.
 */
public class AnswerReader(
    public val generation: GenerationId,
    public val branch: BranchId,
    public val offset: Int,
    public val restarted: Boolean,
    private val tokens: TokenLog,
    private val progress: StateFlow<Progress>,
    private val onClose: () -> Unit,
) : AutoCloseable {
    /** The parts of the answer, [AnswerPart.End] as the last one. */
    public fun parts(): Flow<AnswerPart> = flow {
        var next = offset
        while (true) {
            val state = progress.first { it.released > next || it.end != null }
            if (state.released > next) {
                val fresh = tokens.slice(next, state.released)
                next = state.released
                emit(AnswerPart.Tokens(event(next), fresh))
            } else {
                emit(AnswerPart.End(event(next), checkNotNull(state.end)))
                return@flow
            }
        }
    }

    /** Tells the generation that this caller reads no more. */
    override fun close(): Unit = onClose()

    private fun event(offset: Int): EventId = EventId(generation, branch, offset)
}
