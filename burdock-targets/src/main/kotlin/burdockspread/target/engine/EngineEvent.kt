/** What an engine says during one attempt. */
package burdockspread.target.engine

import kotlinx.collections.immutable.ImmutableList

/** One event of an attempt. */
public sealed interface EngineEvent {
    /** The engine took the request. */
    public data object Opened : EngineEvent

    /**
     * Tokens from [offset] on, counted from the start of the attempt.
     *
     * @property cachedPromptTokens prompt tokens found in the engine's prefix cache, or null.
     */
    public data class Tokens(
        public val offset: Int,
        public val tokens: ImmutableList<String>,
        public val cachedPromptTokens: Int?,
    ) : EngineEvent

    /** The engine ended the answer after [totalTokens] of this attempt. */
    public data class Finished(public val reason: String, public val totalTokens: Int) :
        EngineEvent

    /** The attempt ended without a whole answer. */
    public data class Failed(public val cause: EngineFailure, public val detail: String) :
        EngineEvent
}

/** Why an attempt failed. */
public enum class EngineFailure {
    /** No connection was made, so the engine ran nothing. */
    UNREACHABLE,

    /** The connection broke or ended before the answer was whole. */
    CONNECTION_LOST,

    /** The engine has no room now. */
    OVERLOADED,

    /** The engine refused the request as invalid; another engine would, too. */
    REJECTED,

    /** The engine answered with a fault of its own. */
    ENGINE_FAULT,
}
