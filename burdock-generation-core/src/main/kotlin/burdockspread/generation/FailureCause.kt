/** Causes of failed attempts. */
package burdockspread.generation

/**
 * Why an attempt failed.
 *
 * @property provesNotRun whether the engine has certainly generated nothing.
 * @property requiresBackoff whether an immediate retry would likely fail in the same way.
 */
public enum class FailureCause(
    public val provesNotRun: Boolean,
    public val requiresBackoff: Boolean,
) {
    /** No target could be selected. */
    NO_TARGET(true, true),

    /** The target did not accept the connection. */
    NOT_CONNECTED(true, false),

    /** The engine refused because it is overloaded. */
    OVERLOADED(true, true),

    /** The engine refused the request as invalid; no other engine would accept it. */
    REJECTED(true, false),

    /** The connection was lost after the request was sent. */
    CONNECTION_LOST(false, false),

    /** The stream ended without a finish reason or with fewer tokens than it stated. */
    ENDED_SHORT(false, false),

    /** The stream skipped an offset. */
    GAP(false, false),
}
