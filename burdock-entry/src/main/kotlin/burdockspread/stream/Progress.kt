/** Progress of a generation's response. */
package burdockspread.stream

import burdockspread.error.Refusal
import burdockspread.generation.FinishReason

/**
 * Part of a generation's response that readers may read.
 *
 * @property released number of tokens that may be sent to callers.
 * @property end outcome of the response, or null while more tokens may follow.
 */
public data class Progress(public val released: Int, public val end: ResponseEnd? = null)

/** Outcome of a response. */
public sealed interface ResponseEnd {
    /** The response is complete. */
    public data class Completed(public val reason: FinishReason) : ResponseEnd

    /** The response ended prematurely. */
    public data class Aborted(public val refusal: Refusal) : ResponseEnd
}
