/** The typed reason for which a request ended without a whole answer. */
package burdockspread.error

import kotlin.time.Duration

/**
 * A refusal or failure with its numbered [code].
 *
 * @property detail one sentence about this case, for people.
 * @property retryAfter earliest sensible time for another try, or null when none is known.
 */
public data class Refusal(
    public val code: ErrorCode,
    public val detail: String,
    public val retryAfter: Duration? = null,
) {
    /** What this refusal lets the caller conclude about effects. */
    public val executionOutcome: ExecutionOutcome get() = code.executionOutcome
}
