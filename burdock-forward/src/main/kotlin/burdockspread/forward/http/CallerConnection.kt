/** One caller's connection. */
package burdockspread.forward.http

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.forward.catalog.CallerLimits
import burdockspread.forward.exchange.AnswerHead
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import java.io.ByteArrayOutputStream
import java.util.Locale
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** Takes whole requests of callers. */
public interface CallerHandler {
    /** Bounds on what callers send; those of the newest configuration. */
    public fun limits(): CallerLimits

    /** A whole request came. Its answer goes to [answer]. */
    public fun onRequest(request: WholeRequest, answer: CallerAnswer): CallerUse

    /** The system refused a request before it was read as a whole. */
    public fun onRejected(refusal: Refusal) {}

    /** Whether the host stops, so that connections end with their current answer. */
    public fun stopping(): Boolean
}

/** A request as it was read. */
public class WholeRequest(
    public val head: HttpRequest,
    public val body: ByteArray,
    public val startedAt: Instant,
)

/** What becomes of a request while its caller's connection lives. */
public interface CallerUse {
    /** The caller closed its connection or stopped listening. */
    public fun onCallerGone()

    /** Whether the caller reads as fast as the answer comes. */
    public fun onWritable(writable: Boolean)
}

/** Writes one answer to a caller. */
public interface CallerAnswer {
    public fun begin(head: AnswerHead, length: Int?)

    public fun body(bytes: ByteArray)

    public fun end()

    public fun refuse(refusal: Refusal)

    /** Ends the connection so that the answer cannot be taken for complete. */
    public fun breakOff()
}

/**
 * Reads one request at a time; what a caller sends ahead waits. All on the loop of the channel.
 */
internal class CallerConnection(
    private val handler: CallerHandler,
    private val now: () -> Instant,
    private val connections: MutableSet<CallerConnection>,
) : SimpleChannelInboundHandler<HttpObject>(false) {
    private lateinit var context: ChannelHandlerContext
    private val ahead = ArrayDeque<HttpObject>()
    private var head: HttpRequest? = null
    private var startedAt: Instant = now()
    private var body = ByteArrayOutputStream()
    private var use: CallerUse? = null
    private var answering = false
    private var closing = false
    private var quietSince: Instant = now()

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
        connections += this
    }

    override fun handlerRemoved(context: ChannelHandlerContext) {
        connections -= this
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        if (closing) return discard(message)
        if (answering) {
            ahead.addLast(message)
            if (ahead.size > MOST_AHEAD) context.channel().config().isAutoRead = false
            return
        }
        read(message)
    }

    /** Closes connections that are idle or whose request takes too long; asked twice a second. */
    fun sweep(at: Instant) {
        val limits = handler.limits()
        when {
            answering || closing -> Unit
            head == null && handler.stopping() -> close()
            head == null && at - quietSince > limits.idleTimeout -> close()
            head != null && at - startedAt > limits.headerTimeout + BODY_TIME ->
                reject(Refusal(ErrorCode.REQUEST_TIMEOUT, "the body did not come in time"))
        }
    }

    private fun read(message: HttpObject) {
        val failure = message.decoderResult().cause()
        if (failure != null) {
            discard(message)
            return reject(malformed(failure))
        }
        if (message is HttpRequest) onHead(message)
        if (message is HttpContent) onContent(message)
    }

    private fun onHead(request: HttpRequest) {
        head = request
        startedAt = now()
        body = ByteArrayOutputStream()
        val transfer = request.headers().getAll("Transfer-Encoding")
        val length = HttpUtil.getContentLength(request, 0L)
        when {
            transfer.size > 1 || transfer.any { !it.trim().equals("chunked", ignoreCase = true) } ->
                reject(Refusal(ErrorCode.MALFORMED_REQUEST, "unknown Transfer-Encoding"))
            request.headers().getAll("Host").size != 1 ->
                reject(Refusal(ErrorCode.MALFORMED_REQUEST, "one Host header is needed"))
            !request.uri().startsWith('/') ->
                reject(Refusal(ErrorCode.MALFORMED_REQUEST, "the target is not a path"))
            length > handler.limits().maxBodyBytes -> reject(tooLarge())
            HttpUtil.is100ContinueExpected(request) -> context.writeAndFlush(
                DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE),
            )
        }
    }

    private fun onContent(content: HttpContent) {
        val request = head
        if (request == null || closing) return discard(content)
        body.write(ByteBufUtil.getBytes(content.content()))
        content.release()
        if (body.size() > handler.limits().maxBodyBytes) return reject(tooLarge())
        if (content !is LastHttpContent) return
        answering = true
        val writer = Writer(request)
        val whole = WholeRequest(request, body.toByteArray(), startedAt)
        head = null
        body = ByteArrayOutputStream()
        val taken = handler.onRequest(whole, writer)
        if (answering) use = taken
    }

    /** The answer is out; goes on with what the caller has sent ahead. */
    private fun next() {
        answering = false
        use = null
        quietSince = now()
        if (closing) return
        while (!answering && !closing) read(ahead.removeFirstOrNull() ?: break)
        context.channel().config().isAutoRead = true
    }

    private fun reject(refusal: Refusal) {
        handler.onRejected(refusal)
        answering = true
        Writer(null).refuse(refusal)
    }

    private fun close() {
        closing = true
        context.close()
    }

    private fun discard(message: HttpObject) {
        if (message is HttpContent) message.release()
    }

    private fun malformed(cause: Throwable): Refusal = when (cause) {
        is TooLongFrameException -> Refusal(ErrorCode.HEADERS_TOO_LARGE, cause.message.orEmpty())
        else -> Refusal(ErrorCode.MALFORMED_REQUEST, cause.message.orEmpty())
    }

    private fun tooLarge() = Refusal(ErrorCode.BODY_TOO_LARGE, "the body exceeds the limit")

    override fun channelInactive(context: ChannelHandlerContext) {
        closing = true
        ahead.forEach(::discard)
        ahead.clear()
        val running = use
        use = null
        running?.onCallerGone()
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        use?.onWritable(context.channel().isWritable)
    }

    @Deprecated("Netty's own name for errors of a channel")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    private inner class Writer(private val request: HttpRequest?) : CallerAnswer {
        private val headOnly = request?.method() == HttpMethod.HEAD
        private val chunks = request?.protocolVersion() != HttpVersion.HTTP_1_0

        /** A request that was not read as a whole leaves bytes behind that are no request. */
        private val keep =
            request != null && HttpUtil.isKeepAlive(request) && chunks && !handler.stopping()

        override fun begin(head: AnswerHead, length: Int?) {
            val status = HttpResponseStatus.valueOf(head.status)
            val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, status)
            head.headers.forEach { response.headers().add(it.name, it.value) }
            val known = if (headOnly) head.length?.toInt() else length
            when {
                known != null && bodyAllowed(head.status) ->
                    response.headers()["Content-Length"] = known
                known == null && !headOnly && chunks ->
                    response.headers()["Transfer-Encoding"] = "chunked"
            }
            start(response)
        }

        override fun body(bytes: ByteArray) {
            if (!headOnly) context.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
        }

        override fun end() {
            val written = context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
            if (!keep) {
                closing = true
                written.addListener(ChannelFutureListener.CLOSE)
            }
            next()
        }

        override fun refuse(refusal: Refusal) {
            val text = "${refusal.code.number} ${refusal.code.name}: ${refusal.detail}\n"
            val status = HttpResponseStatus.valueOf(refusal.code.httpStatus)
            val content = Unpooled.copiedBuffer(text, Charsets.UTF_8)
            val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content)
            response.headers()["Content-Type"] = "text/plain"
            response.headers()["Content-Length"] = text.toByteArray().size
            refusal.retryAfter?.let { response.headers()["Retry-After"] = seconds(it) }
            start(response)
            if (!keep) closeGently()
            next()
        }

        /** Bytes that were not read would reset the connection before the caller has the answer. */
        private fun closeGently() {
            closing = true
            (context.channel() as? SocketChannel)?.shutdownOutput()
            val loop = context.channel().eventLoop()
            loop.schedule({ context.close() }, LINGER_MILLIS, TimeUnit.MILLISECONDS)
        }

        override fun breakOff() {
            close()
            next()
        }

        private fun start(response: HttpResponse) {
            if (!keep) (response as HttpMessage).headers()["Connection"] = "close"
            context.writeAndFlush(response)
        }

        private fun bodyAllowed(status: Int) = status >= FIRST_WITH_BODY && status !in BODILESS

        private fun seconds(wait: Duration): String =
            "%.3f".format(Locale.ROOT, wait.toDouble(DurationUnit.SECONDS))
    }

    private companion object {
        /** Messages that a caller may send ahead before the connection is no longer read. */
        const val MOST_AHEAD = 64
        const val FIRST_WITH_BODY = 200
        const val LINGER_MILLIS = 300L
        val BODILESS = setOf(204, 304)

        /** Time for a body beyond that for the headers; the largest takes about 0.1 s. */
        val BODY_TIME = 10.seconds
    }
}
