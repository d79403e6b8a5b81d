/** Whole calls to the store, peers and probes, for coroutines. */
package burdockspread.forward.http

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
import java.io.ByteArrayOutputStream
import kotlin.coroutines.resume
import kotlin.time.Duration

/** Result of one call. */
public sealed interface CallResult {
    /** The whole answer came. */
    public class Answer(public val status: Int, public val body: ByteArray) : CallResult

    /** Nothing was sent. */
    public data object NotSent : CallResult

    /** Something was sent and no whole answer came. */
    public data object NoAnswer : CallResult
}

/** A call's request line, body and its content type. */
public class CallRequest(
    public val method: String,
    public val path: String,
    public val body: ByteArray? = null,
    public val contentType: String = "application/json",
)

/** Makes calls on [loop]; answers are held as a whole. */
public class Calls(private val connections: Connections, private val loop: EventLoop) {
    private val dispatcher = loop.asCoroutineDispatcher()

    /** Calls [address] and waits for at most [timeout]. */
    public suspend fun call(address: String, request: CallRequest, timeout: Duration): CallResult =
        withContext(dispatcher) {
            withTimeoutOrNull(timeout) { exchange(address, request) } ?: CallResult.NoAnswer
        }

    private suspend fun exchange(address: String, request: CallRequest): CallResult =
        suspendCancellableCoroutine { waiting ->
            var sent: Sent? = null
            val sink = WholeAnswer { result, reusable ->
                sent?.let { if (result is CallResult.Answer) it.release(reusable) else it.drop() }
                if (waiting.isActive) waiting.resume(result)
            }
            sent = connections.send(address, encode(address, request), sink)
            val drop = sent
            waiting.invokeOnCancellation { loop.execute { drop.drop() } }
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
}

private class WholeAnswer(private val onResult: (CallResult, Boolean) -> Unit) : AnswerSink {
    private val body = ByteArrayOutputStream()
    private var status = 0

    override fun onResponseHead(response: HttpResponse) {
        status = response.status().code()
    }

    override fun onBody(bytes: ByteArray): Unit = body.write(bytes)

    override fun onEnd(reusable: Boolean): Unit =
        onResult(CallResult.Answer(status, body.toByteArray()), reusable)

    override fun onNotConnected(): Unit = onResult(CallResult.NotSent, false)

    override fun onBroken(malformed: Boolean): Unit = onResult(CallResult.NoAnswer, false)
}
