/** What a refusal or failure lets the caller conclude about effects. */
package burdockspread.error

/** What is known about the effects of a request that ended without a whole answer. */
public enum class ExecutionOutcome {
    /** Nothing was generated, booked or ordered, and nothing will be. */
    NOT_RUN,

    /** Part of a generation was delivered; a retry starts or resumes it. No call had effects. */
    INCOMPLETE,

    /** A call may have had effects. It will never be sent again under the same key. */
    OUTCOME_UNKNOWN,
}
