/** Suspending HTTP calls to the store and to peers. */
package burdockspread.forward.http

import burdockspread.buffer.BufferAccount
import burdockspread.buffer.BufferBudget
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager
import java.io.ByteArrayOutputStream
import kotlin.coroutines.resume
import kotlin.time.Duration

/** Result of a call. */
public sealed interface CallResult {
    /** The complete response was received. */
    public class Response(public val status: Int, public val body: ByteArray) : CallResult

    /** Nothing was sent. */
    public data object NotSent : CallResult

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
    /** Calls [address] and waits for at most [timeout]. */
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
    ): CallResult = withContext(dispatcher) {
        withTimeoutOrNull(timeout) { exchange(address, request) } ?: CallResult.NoResponse
    }

    private suspend fun exchange(address: String, request: CallRequest): CallResult =
        suspendCancellableCoroutine { continuation ->
            var outgoing: OutgoingRequest? = null
            val kept = bodies.open()
            val handler = BufferingResponseHandler(maxBodyBytes, kept) { result, reusable ->
                outgoing?.let {
                    if (result is CallResult.Response) it.release(reusable) else it.cancel()
                }
                if (continuation.isActive) continuation.resume(result)
            }
            outgoing = connections.send(address, encode(address, request), handler)
            val pending = outgoing
            continuation.invokeOnCancellation {
                loop.execute {
                    pending.cancel()
                    handler.discard()
                }
            }
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

private class BufferingResponseHandler(
    private val maxBodyBytes: Int,
    private val kept: BufferAccount,
    private val onResult: (CallResult, Boolean) -> Unit,
) : ResponseHandler {
    private var body = ByteArrayOutputStream()
    private var status = 0

    override fun onResponseHead(response: HttpResponse) {
        status = response.status().code()
    }

    override fun onBody(bytes: ByteArray) {
        val size = body.size() + bytes.size
        if (size <= maxBodyBytes && kept.tryKeep(size)) return body.write(bytes)
        log.warn("a response of {} bytes is too long, or too long beside others; closing", size)
        finish(CallResult.NoResponse)
    }

    override fun onEnd(reusable: Boolean): Unit =
        finish(CallResult.Response(status, body.toByteArray()), reusable)

    override fun onNotConnected(): Unit = finish(CallResult.NotSent)

    override fun onBroken(malformed: Boolean): Unit = finish(CallResult.NoResponse)

    /** Frees what has arrived of a response that nobody waits for. */
    fun discard() {
        body = ByteArrayOutputStream()
        kept.release()
    }

    private fun finish(result: CallResult, reusable: Boolean = false) {
        discard()
        onResult(result, reusable)
    }
}
