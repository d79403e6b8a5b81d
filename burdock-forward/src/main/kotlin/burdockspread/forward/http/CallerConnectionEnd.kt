/** How callers' connections end, for the log and the metrics. */
package burdockspread.forward.http

import kotlin.time.Duration

/**
 * The end of a caller's connection.
 *
 * @param caller remote address.
 * @param cause exception that ended the connection, or null.
 * @param answered number of requests that were answered on the connection.
 * @param requestId caller's id of the request that was being read or answered, or null if unknown.
 * @param unfinishedBytes number of bytes of a request that was not read completely.
 * @param pipelinedMessages number of decoded messages behind the current request that were dropped.
 * @param idle time since the last response, or since the connection was accepted; zero while a
 * request is answered.
 * @param limit limit that applied to the connection in its state.
 */
public data class CallerConnectionEnd(
    public val reason: Reason,
    public val state: State,
    public val caller: String,
    public val cause: Throwable?,
    public val answered: Int,
    public val requestId: String?,
    public val unfinishedBytes: Long,
    public val pipelinedMessages: Int,
    public val idle: Duration,
    public val limit: Duration,
) {
    /** Whether something that a caller sent is lost with the connection. */
    public val dropsRequest: Boolean
        get() = pipelinedMessages > 0 || unfinishedBytes > 0 && !reason.answersUnfinished

    /** Why a connection ends. */
    public enum class Reason {
        /** It was idle for longer than the limit. */
        IDLE,

        /** It was idle while the host drains. */
        DRAINING,

        /** The host exits. */
        STOPPED,

        /** A complete response said `Connection: close`. */
        RESPONSE_COMPLETE,

        /** A refusal said `Connection: close`. */
        REFUSED,

        /** A response was cut off so that it cannot be mistaken for a complete one. */
        RESPONSE_ABORTED,

        /** A request did not arrive in time. */
        REQUEST_TIMEOUT,

        /** An exception on the connection. */
        ERROR,

        /** The caller closed it. */
        CALLER_CLOSED,
        ;

        /** Whether a request that was not read completely was answered. */
        internal val answersUnfinished: Boolean get() = this == REFUSED || this == REQUEST_TIMEOUT

        /** Whether a response told the caller that the connection ends. */
        internal val isAnnounced: Boolean get() = this == RESPONSE_COMPLETE || answersUnfinished
    }

    /** What a connection is doing. */
    public enum class State {
        /** Nothing of a next request has been read. */
        IDLE,

        /** The head of a request has been read in part. */
        HEAD,

        /** The body of a request has been read in part. */
        BODY,

        /** A request has been read and is not yet answered. */
        RESPONDING,
    }
}
