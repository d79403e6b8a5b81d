/** Suspending HTTP calls to the store and to peers. */
package burdockspread.forward.http

import burdockspread.buffer.BufferAccount
import burdockspread.buffer.BufferBudget
import burdockspread.net.TransferDeadline
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.coroutines.withContext
import org.apache.logging.log4j.LogManager
import java.io.ByteArrayOutputStream
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlin.coroutines.resume
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

/** Result of a call. */
public sealed interface CallResult {
    /** The complete response was received. */
    public class Response(public val status: Int, public val body: ByteArray) : CallResult

    /** Nothing was sent. */
    public data object NotSent : CallResult

    /** The request was sent, and the connection ended before a response began. */
    public data object Closed : CallResult

    /** The request was sent, but no complete response was received. */
    public data object NoResponse : CallResult
}

/** The request line, body and content type of a call. */
public class CallRequest(
    public val method: String,
    public val path: String,
    public val body: ByteArray? = null,
    public val contentType: String = "application/json",
)

/** Makes calls to the store and to peers. */
public fun interface Calls {
    /**
     * Calls [address]. The response has to be complete or to make progress within [timeout]; a long
     * one may take longer as long as it goes on, see [TransferDeadline].
     */
    public suspend fun call(address: String, request: CallRequest, timeout: Duration): CallResult
}

/**
 * Makes calls on [loop] and buffers the responses.
 *
 * @param maxBodyBytes size beyond which a response is malformed; its connection is closed.
 */
public class HttpCalls(
    private val connections: Connections,
    private val loop: EventLoop,
    private val maxBodyBytes: Int = MAX_BODY_BYTES,
) : Calls {
    private val dispatcher = loop.asCoroutineDispatcher()
    private val bodies = BufferBudget(2 * maxBodyBytes, FREE_BODY_BYTES)

    override suspend fun call(
        address: String,
        request: CallRequest,
        timeout: Duration,
    ): CallResult = withContext(dispatcher) { exchange(address, request, timeout) }

    private suspend fun exchange(
        address: String,
        request: CallRequest,
        timeout: Duration,
    ): CallResult = suspendCancellableCoroutine { continuation ->
        val label = "${request.method} ${request.path} at $address"
        val call = PendingCall(loop, label, maxBodyBytes, bodies.open(), timeout) { result ->
            if (continuation.isActive) continuation.resume(result)
        }
        call.start { connections.send(address, encode(address, request), it) }
        continuation.invokeOnCancellation { loop.execute(call::cancel) }
    }

    private fun encode(address: String, request: CallRequest): DefaultFullHttpRequest {
        val body = Unpooled.wrappedBuffer(request.body ?: ByteArray(0))
        val method = HttpMethod.valueOf(request.method)
        return DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, request.path, body).apply {
            headers()["Host"] = address
            if (request.body != null) {
                headers()["Content-Type"] = request.contentType
                headers()["Content-Length"] = request.body.size
            }
        }
    }

    private companion object {
        /** Four times the largest value of the store, which lists may exceed a little. */
        const val MAX_BODY_BYTES = 4_194_304

        /** Size of the usual responses of peers. */
        const val FREE_BODY_BYTES = 16_384
    }
}

private val log = LogManager.getLogger(HttpCalls::class.java)

/** One call and what has arrived of its response. Confined to [loop]. */
private class PendingCall(
    private val loop: EventLoop,
    private val label: String,
    private val maxBodyBytes: Int,
    private val kept: BufferAccount,
    timeout: Duration,
    private val onResult: (CallResult) -> Unit,
) : ResponseHandler {
    private val startedAt = System.nanoTime()
    private val deadline = TransferDeadline(timeout, minOf(timeout, STALL_TIMEOUT))
    private var outgoing: OutgoingRequest? = null
    private var timer: Future<*>? = null
    private var body = ByteArrayOutputStream()
    private var status = 0
    private var isDone = false

    fun start(send: (ResponseHandler) -> OutgoingRequest) {
        val sent = send(this)
        outgoing = sent
        if (isDone) sent.cancel() else schedule()
    }

    /** Frees what has arrived of a response that nobody waits for. */
    fun cancel() {
        if (!isDone) finish()?.cancel()
    }

    override fun onResponseHead(response: HttpResponse) {
        status = response.status().code()
    }

    override fun onBody(bytes: ByteArray) {
        val size = body.size() + bytes.size
        if (size > maxBodyBytes || !kept.tryKeep(size)) {
            log.warn("a response of {} bytes is too long, or too long beside others; closing", size)
            return fail(CallResult.NoResponse)
        }
        body.write(bytes)
        deadline.onReceived(size, elapsed())
    }

    override fun onEnd(reusable: Boolean) {
        val response = CallResult.Response(status, body.toByteArray())
        finish()?.release(reusable)
        onResult(response)
    }

    override fun onNotConnected(): Unit = fail(CallResult.NotSent)

    override fun onBroken(malformed: Boolean): Unit =
        fail(if (malformed || status != 0) CallResult.NoResponse else CallResult.Closed)

    private fun schedule() {
        val wait = deadline.dueAt - elapsed()
        timer = loop.schedule(::onTimer, wait.inWholeMicroseconds, TimeUnit.MICROSECONDS)
    }

    private fun onTimer() {
        val elapsed = elapsed()
        val isDue = elapsed >= deadline.dueAt
        if (body.size() > 0) {
            val state = if (isDue) "giving up" else "receiving"
            log.info(
                "{} {}: {} bytes in {} ms",
                state,
                label,
                body.size(),
                elapsed.inWholeMilliseconds,
            )
        }
        if (isDue) fail(CallResult.NoResponse) else schedule()
    }

    private fun elapsed(): Duration = (System.nanoTime() - startedAt).nanoseconds

    private fun fail(result: CallResult) {
        finish()?.cancel()
        onResult(result)
    }

    /** Ends the call; returns its request, whose connection is to be released or closed. */
    private fun finish(): OutgoingRequest? {
        isDone = true
        timer?.cancel(false)
        body = ByteArrayOutputStream()
        kept.release()
        return outgoing
    }

    private companion object {
        /** A sound server sends within tens of milliseconds what its link lets through. */
        val STALL_TIMEOUT = 600.milliseconds
    }
}
