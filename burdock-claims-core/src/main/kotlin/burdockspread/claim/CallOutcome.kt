/** Outcomes of claimed calls. */
package burdockspread.claim

import com.google.protobuf.ByteString

/** Outcome of a claimed call, as known to its holder. An unknown outcome is not recorded. */
public sealed interface CallOutcome {
    /** The target answered with the HTTP [status] and the body [answer]. */
    public data class Done(public val status: Int, public val answer: ByteString) : CallOutcome

    /** No byte of the call has reached the target, and none will. */
    public data object NotSent : CallOutcome
}
