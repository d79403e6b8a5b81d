/** Decisions of the claims ledger. */
package burdockspread.claim

import burdockspread.error.ErrorCode
import com.google.protobuf.ByteString

/** How to proceed with a non-repeatable call, and what its caller may be told. */
public sealed interface ClaimDecision {
    /** Error code for the caller, or null when there is an answer or the call is to be sent. */
    public val code: ErrorCode? get() = null

    /** The claim is committed: this process may send the call once, with [permit]. */
    public data class Send(public val permit: SendPermit) : ClaimDecision

    /** The call was answered. The [answer] is null when it was too large to be recorded. */
    public data class AlreadyDone(public val status: Int, public val answer: ByteString?) :
        ClaimDecision

    /** A process has claimed the call and may be sending it now. */
    public data object InProgress : ClaimDecision {
        override val code: ErrorCode get() = ErrorCode.CALL_IN_PROGRESS
    }

    /** The call was claimed and may have been sent; its holder recorded no outcome in time. */
    public data object OutcomeUnknown : ClaimDecision {
        override val code: ErrorCode get() = ErrorCode.OUTCOME_UNKNOWN
    }

    /** The key was used before with a different body. */
    public data object KeyReused : ClaimDecision {
        override val code: ErrorCode get() = ErrorCode.KEY_REUSED
    }

    /** The holder of the claim has not sent the call, and nobody will under this key. */
    public data object NotRun : ClaimDecision {
        override val code: ErrorCode get() = ErrorCode.CALL_NOT_RUN
    }

    /** The claim is provably not committed and there was no earlier send, so nothing has run. */
    public data class Unavailable(public val reason: String) : ClaimDecision {
        override val code: ErrorCode get() = ErrorCode.CLAIM_UNAVAILABLE
    }

    /**
     * This or an earlier send of the key may have claimed it; the store has not confirmed either
     * yet.
     */
    public data class Pending(public val reason: String) : ClaimDecision {
        override val code: ErrorCode get() = ErrorCode.CLAIM_PENDING
    }
}
