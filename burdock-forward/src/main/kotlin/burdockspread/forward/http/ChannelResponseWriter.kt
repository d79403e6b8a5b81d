/** Encoding of one response to a caller. */
package burdockspread.forward.http

import burdockspread.error.Refusal
import burdockspread.forward.exchange.ResponseHead
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** The connection to which a response belongs. */
internal interface ResponseOwner {
    /**
     * Called when the head of a response is written. Returns the idle limit to tell the caller, or
     * null if the connection ends after the response.
     */
    fun onResponseBegins(isKeepAlivePossible: Boolean): Duration?

    /** Called when a response was handed to the channel completely. */
    fun onResponseEnds(isKept: Boolean, refusal: Refusal?)

    /** Called when a response is cut off; [isFramed] if its end is not the connection's end. */
    fun onResponseAborted(isFramed: Boolean)
}

/**
 * Writes the response to [request], or to a request that was not read completely if it is null.
 * What is written after the end has no effect, since it would belong to the next response.
 */
internal class ChannelResponseWriter(
    private val request: HttpRequest?,
    private val context: ChannelHandlerContext,
    private val owner: ResponseOwner,
) : ResponseWriter {
    private val isHead = request?.method() == HttpMethod.HEAD
    private val supportsChunks = request?.protocolVersion() != HttpVersion.HTTP_1_0
    private var isKept = false
    private var isFramed = true
    private var hasEnded = false

    /** Whether the head of the response was written. */
    var hasBegun = false
        private set

    override fun begin(head: ResponseHead, length: Int?) {
        val status = HttpResponseStatus.valueOf(head.status)
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, status)
        head.headers.forEach { response.headers().add(it.name, it.value) }
        val bodyLength = if (isHead) head.length?.toInt() else length
        when {
            !bodyAllowed(head.status) -> Unit
            bodyLength != null -> response.headers()["Content-Length"] = bodyLength
            isHead -> Unit
            supportsChunks -> response.headers()["Transfer-Encoding"] = "chunked"
            else -> isFramed = false
        }
        start(response)
    }

    override fun body(bytes: ByteArray) {
        if (isHead || hasEnded) return
        context.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
    }

    override fun end() {
        if (hasEnded) return
        hasEnded = true
        context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        owner.onResponseEnds(isKept, null)
    }

    override fun refuse(refusal: Refusal) {
        if (hasEnded) return
        hasEnded = true
        val text = "${refusal.code.number} ${refusal.code.name}: ${refusal.detail}\n"
        val bytes = text.toByteArray()
        val status = HttpResponseStatus.valueOf(refusal.code.httpStatus)
        val content = if (isHead) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(bytes)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content)
        response.headers()["Content-Type"] = "text/plain"
        response.headers()["Content-Length"] = bytes.size
        refusal.retryAfter?.let { response.headers()["Retry-After"] = seconds(it) }
        start(response)
        owner.onResponseEnds(isKept, refusal)
    }

    override fun abort() {
        if (hasEnded) return
        hasEnded = true
        owner.onResponseAborted(isFramed)
    }

    private fun start(response: HttpResponse) {
        hasBegun = true
        // After a partially read request, the remaining bytes would be misread as a new one.
        val limit = owner.onResponseBegins(
            request != null && HttpUtil.isKeepAlive(request) && supportsChunks,
        )
        isKept = limit != null
        when {
            limit == null -> response.headers()["Connection"] = "close"
            limit.inWholeSeconds > 0 -> {
                response.headers()["Connection"] = "keep-alive"
                response.headers()["Keep-Alive"] = "timeout=${limit.inWholeSeconds}"
            }
        }
        context.writeAndFlush(response)
    }

    private fun bodyAllowed(status: Int) =
        status >= FIRST_STATUS_WITH_BODY && status !in STATUSES_WITHOUT_BODY

    private fun seconds(wait: Duration): String =
        "%.3f".format(Locale.ROOT, wait.toDouble(DurationUnit.SECONDS))

    private companion object {
        const val FIRST_STATUS_WITH_BODY = 200
        val STATUSES_WITHOUT_BODY = setOf(204, 304)
    }
}
