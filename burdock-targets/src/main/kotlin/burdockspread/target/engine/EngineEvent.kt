/** Events of an attempt at an engine. */
package burdockspread.target.engine

import kotlinx.collections.immutable.ImmutableList

/** Event of one attempt. */
public sealed interface EngineEvent {
    /** The engine accepted the request. */
    public data object Opened : EngineEvent

    /**
     * The engine generated [tokens], the first at [offset] from the start of the attempt.
     *
     * @property cachedPromptTokens number of prompt tokens found in the engine's prefix cache, or
     *     null when the engine does not report it.
     */
    public data class Tokens(
        public val offset: Int,
        public val tokens: ImmutableList<String>,
        public val cachedPromptTokens: Int?,
    ) : EngineEvent

    /** The engine completed the response after [totalTokens] tokens of this attempt. */
    public data class Finished(public val reason: String, public val totalTokens: Int) :
        EngineEvent

    /** The attempt ended without a complete response. */
    public data class Failed(public val cause: EngineFailure, public val detail: String) :
        EngineEvent
}

/** Reason for which an attempt failed. */
public enum class EngineFailure {
    /** No connection was established, so the engine ran nothing. */
    UNREACHABLE,

    /** The connection was lost before the response was complete. */
    CONNECTION_LOST,

    /** The engine is at capacity. */
    OVERLOADED,

    /** The engine rejected the request as invalid; any other engine would, too. */
    REJECTED,

    /** The engine responded with an internal error or a malformed response. */
    ENGINE_FAULT,
}
