/** Why an attempt failed. */
package burdockspread.generation

/**
 * Why an attempt failed.
 *
 * @property provesNotRun whether the engine surely generated nothing.
 * @property requiresBackoff whether another attempt at once would likely fail the same way.
 */
public enum class FailureCause(
    public val provesNotRun: Boolean,
    public val requiresBackoff: Boolean,
) {
    /** No target could be chosen. */
    NO_TARGET(true, true),

    /** The target did not take the connection. */
    NOT_CONNECTED(true, false),

    /** The engine refused for its load. */
    OVERLOADED(true, true),

    /** The engine refused the request as invalid; no other engine would take it. */
    REJECTED(true, false),

    /** The connection broke after the request was sent. */
    CONNECTION_LOST(false, false),

    /** The stream ended without a finish reason or with fewer tokens than it stated. */
    ENDED_SHORT(false, false),

    /** The stream skipped an offset. */
    GAP(false, false),
}
