/** Which connections to a target may carry a request. */
package burdockspread.forward.exchange

/**
 * Bytes that a target writes late arrive at whichever request uses the connection next. Where a
 * response's id cannot tell the two apart, the connection has to.
 */
public enum class ConnectionUse(
    /** Whether an idle connection, which carried other requests, may be taken. */
    public val takesIdle: Boolean,
    /** Whether other requests may follow on the connection. */
    public val isKept: Boolean,
) {
    /** Any connection: the response's id tells it from others. */
    SHARED(takesIdle = true, isKept = true),

    /** A connection that has carried no request before. */
    NEW(takesIdle = false, isKept = true),

    /** A connection that carries this request only. */
    EXCLUSIVE(takesIdle = false, isKept = false),
}
