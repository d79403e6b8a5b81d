/** What a caller may conclude about effects from a refusal or failure. */
package burdockspread.error

/** What is known about the effects of a request that ended without a complete answer. */
public enum class ExecutionOutcome {
    /** Nothing was generated, booked or ordered, and nothing will be. */
    NOT_RUN,

    /** Part of a generation was delivered; a retry restarts or resumes it. No call had effects. */
    INCOMPLETE,

    /** A call may have had effects. It is never sent again under the same key. */
    OUTCOME_UNKNOWN,
}
