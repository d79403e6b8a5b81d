/** Typed reason why a request ended without a complete answer. */
package burdockspread.error

import kotlin.time.Duration

/**
 * A refusal or failure with its numbered [code].
 *
 * @property detail one sentence about this case for human readers.
 * @property retryAfter earliest sensible delay before a retry, or null when unknown.
 */
public data class Refusal(
    public val code: ErrorCode,
    public val detail: String,
    public val retryAfter: Duration? = null,
) {
    /** What the caller may conclude about effects. */
    public val executionOutcome: ExecutionOutcome get() = code.executionOutcome
}
