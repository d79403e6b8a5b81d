/** How far the answer of a generation may be read. */
package burdockspread.stream

import burdockspread.error.Refusal
import burdockspread.generation.FinishReason

/**
 * What readers of a generation may take.
 *
 * @property released number of tokens that may be sent to callers.
 * @property end set once no further token comes.
 */
public data class Progress(public val released: Int, public val end: AnswerEnd? = null)

/** How an answer ended. */
public sealed interface AnswerEnd {
    /** The answer is whole. */
    public data class Whole(public val reason: FinishReason) : AnswerEnd

    /** No further token comes. */
    public data class Broken(public val refusal: Refusal) : AnswerEnd
}
