/** What the server side of a caller's connection needs from the program, and offers to it. */
package burdockspread.forward.http

import burdockspread.error.Refusal
import burdockspread.forward.catalog.CallerLimits
import burdockspread.forward.exchange.ResponseHead
import io.netty.handler.codec.http.HttpRequest
import kotlin.time.Instant

/** Handles buffered requests of callers. */
internal interface CallerHandler {
    /** Limits on callers' requests from the newest configuration. */
    public fun limits(): CallerLimits

    /** Called with a complete request. The response goes to [writer]. */
    public fun onRequest(request: BufferedRequest, writer: ResponseWriter): CallerConnectionListener

    /** Called when a request was refused before it was read completely. */
    public fun onRejected(refusal: Refusal) {}

    /** Returns the caller's id of the request with [head], or null if it has none. */
    public fun requestId(head: HttpRequest): String?

    /** Called once for each connection when its end was decided, by whomever. */
    public fun onConnectionEnded(end: CallerConnectionEnd)

    /**
     * Called when the head of a request with [id] arrived after the connection's end for [reason]
     * was decided; the request is not read.
     */
    public fun onRequestDropped(id: String?, reason: CallerConnectionEnd.Reason)

    /** Called when something could not be written to the [caller] whose connection was ending. */
    public fun onWriteFailed(caller: String, cause: Throwable)

    /** Called with an unexpected exception, which ends the connection and its request with [id]. */
    public fun onUnexpectedException(id: String?, cause: Throwable)

    /**
     * Whether the host reads late what has arrived, so that callers may have left meanwhile. Their
     * requests are then handled only after another read has not shown the end of the connection.
     */
    public fun isReadingLate(): Boolean = false

    /** Memory of the requests of all callers. */
    public val memory: CallerMemory

    /** Whether the host is draining, so that connections close after their current response. */
    public fun isDraining(): Boolean
}

/** A request that was read completely. */
public class BufferedRequest(
    public val head: HttpRequest,
    public val body: ByteArray,
    public val startedAt: Instant,
)

/** Receives the events of the caller's connection while a request is handled. */
public interface CallerConnectionListener {
    /** Called when the caller closed its connection. */
    public fun onCallerGone()

    /** Called when the caller starts or stops reading as fast as the response arrives. */
    public fun onWritable(writable: Boolean)
}

/** Writes one response to a caller. */
public interface ResponseWriter {
    public fun begin(head: ResponseHead, length: Int?)

    public fun body(bytes: ByteArray)

    public fun end()

    public fun refuse(refusal: Refusal)

    /** Closes the connection so that the response cannot be mistaken for a complete one. */
    public fun abort()
}
