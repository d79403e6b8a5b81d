/** The server side of a caller's connection. */
package burdockspread.forward.http

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.forward.catalog.CallerLimits
import burdockspread.forward.exchange.ResponseHead
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

/** Handles buffered requests of callers. */
public interface CallerHandler {
    /** Limits on callers' requests from the newest configuration. */
    public fun limits(): CallerLimits

    /** Called with a complete request. The response goes to [writer]. */
    public fun onRequest(request: BufferedRequest, writer: ResponseWriter): CallerConnectionListener

    /** Called when a request was refused before it was read completely. */
    public fun onRejected(refusal: Refusal) {}

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

/** Reads one request at a time and queues pipelined ones. Confined to the channel's event loop. */
internal class CallerConnection(
    private val handler: CallerHandler,
    private val now: () -> Instant,
    private val connections: MutableSet<CallerConnection>,
) : SimpleChannelInboundHandler<HttpObject>(false) {
    private lateinit var context: ChannelHandlerContext
    private val pipelined = ArrayDeque<HttpObject>()
    private var head: HttpRequest? = null
    private var startedAt: Instant = now()
    private var body = ByteArrayOutputStream()
    private var listener: CallerConnectionListener? = null
    private var isResponding = false
    private var isClosing = false
    private var idleSince: Instant = now()

    /** Time of the first call of [closeGracefully]; all that had arrived is read until the next. */
    private var endingSince: Instant? = null

    /** Whether nothing of a request has been read that is not yet answered. */
    val isIdle: Boolean get() = head == null && !isResponding

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
        connections += this
    }

    override fun handlerRemoved(context: ChannelHandlerContext) {
        connections -= this
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        if (isClosing) return discard(message)
        // While the host drains, what has arrived decides whether a response closes the connection.
        if (isResponding || handler.isDraining()) {
            pipelined.addLast(message)
            if (pipelined.size > MAX_PIPELINED) context.channel().config().isAutoRead = false
            return
        }
        read(message)
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        if (!isResponding) readPipelined()
        context.fireChannelReadComplete()
    }

    /** Closes connections that are idle or whose request takes too long. Called every 500 ms. */
    fun closeExpired(at: Instant) {
        val limits = handler.limits()
        when {
            isResponding || isClosing -> Unit
            head == null && handler.isDraining() -> close()
            head == null && at - idleSince > limits.idleTimeout -> close()
            head != null && at - startedAt > limits.headerTimeout + BODY_READ_TIMEOUT ->
                reject(Refusal(ErrorCode.REQUEST_TIMEOUT, "the body did not arrive in time"))
        }
    }

    /**
     * Closes once what had arrived is read and answered. Called every 50 ms while the host ends.
     */
    fun closeGracefully(at: Instant) {
        val since = endingSince
        endingSince = since ?: at
        if (since != null && !isResponding && !isClosing) {
            ChannelResponseWriter(null).lingerAndClose()
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
                reject(Refusal(ErrorCode.MALFORMED_REQUEST, "unsupported Transfer-Encoding"))
            request.headers().getAll("Host").size != 1 ->
                reject(Refusal(ErrorCode.MALFORMED_REQUEST, "exactly one Host header is required"))
            !request.uri().startsWith('/') ->
                reject(Refusal(ErrorCode.MALFORMED_REQUEST, "the request target is not a path"))
            length > handler.limits().maxBodyBytes -> reject(tooLarge())
            HttpUtil.is100ContinueExpected(request) -> context.writeAndFlush(
                DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE),
            )
        }
    }

    private fun onContent(content: HttpContent) {
        val request = head
        if (request == null || isClosing) return discard(content)
        body.write(ByteBufUtil.getBytes(content.content()))
        content.release()
        if (body.size() > handler.limits().maxBodyBytes) return reject(tooLarge())
        if (content !is LastHttpContent) return
        isResponding = true
        val responseWriter = ChannelResponseWriter(request)
        val buffered = BufferedRequest(request, body.toByteArray(), startedAt)
        head = null
        body = ByteArrayOutputStream()
        val accepted = handler.onRequest(buffered, responseWriter)
        if (isResponding) listener = accepted
    }

    /** Ends the response and continues with pipelined requests. */
    private fun readNext() {
        isResponding = false
        listener = null
        idleSince = now()
        readPipelined()
    }

    private fun readPipelined() {
        if (isClosing) return
        while (!isResponding && !isClosing) read(pipelined.removeFirstOrNull() ?: break)
        context.channel().config().isAutoRead = true
    }

    private fun reject(refusal: Refusal) {
        handler.onRejected(refusal)
        isResponding = true
        ChannelResponseWriter(null).refuse(refusal)
    }

    private fun close() {
        isClosing = true
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
        isClosing = true
        pipelined.forEach(::discard)
        pipelined.clear()
        val activeListener = listener
        listener = null
        activeListener?.onCallerGone()
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        listener?.onWritable(context.channel().isWritable)
    }

    @Deprecated("Netty deprecates this method in ChannelHandler but still calls it")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    private inner class ChannelResponseWriter(private val request: HttpRequest?) : ResponseWriter {
        private val isHead = request?.method() == HttpMethod.HEAD
        private val supportsChunks = request?.protocolVersion() != HttpVersion.HTTP_1_0

        /**
         * Whether to keep the connection; after a partially read request, the remaining bytes would
         * be misread as a new one. A draining host still answers requests that it has read.
         */
        private val keepAlive by lazy(LazyThreadSafetyMode.NONE) {
            request != null &&
                HttpUtil.isKeepAlive(request) &&
                supportsChunks &&
                (!handler.isDraining() || pipelined.any { it is HttpRequest })
        }

        override fun begin(head: ResponseHead, length: Int?) {
            val status = HttpResponseStatus.valueOf(head.status)
            val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, status)
            head.headers.forEach { response.headers().add(it.name, it.value) }
            val bodyLength = if (isHead) head.length?.toInt() else length
            when {
                bodyLength != null && bodyAllowed(head.status) ->
                    response.headers()["Content-Length"] = bodyLength
                bodyLength == null && !isHead && supportsChunks ->
                    response.headers()["Transfer-Encoding"] = "chunked"
            }
            start(response)
        }

        override fun body(bytes: ByteArray) {
            if (!isHead) context.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
        }

        override fun end() {
            val written = context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
            if (!keepAlive) {
                isClosing = true
                written.addListener(ChannelFutureListener.CLOSE)
            }
            readNext()
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
            if (!keepAlive) lingerAndClose()
            readNext()
        }

        /**
         * Closes after a delay, since unread bytes would reset the connection before the caller has
         * read the response.
         */
        fun lingerAndClose() {
            isClosing = true
            (context.channel() as? SocketChannel)?.shutdownOutput()
            val loop = context.channel().eventLoop()
            loop.schedule({ context.close() }, LINGER_MILLIS, TimeUnit.MILLISECONDS)
        }

        override fun abort() {
            close()
            readNext()
        }

        private fun start(response: HttpResponse) {
            if (!keepAlive) (response as HttpMessage).headers()["Connection"] = "close"
            context.writeAndFlush(response)
        }

        private fun bodyAllowed(status: Int) =
            status >= FIRST_STATUS_WITH_BODY && status !in STATUSES_WITHOUT_BODY

        private fun seconds(wait: Duration): String =
            "%.3f".format(Locale.ROOT, wait.toDouble(DurationUnit.SECONDS))
    }

    private companion object {
        /** Number of pipelined messages after which the connection is no longer read. */
        const val MAX_PIPELINED = 64
        const val FIRST_STATUS_WITH_BODY = 200
        const val LINGER_MILLIS = 300L
        val STATUSES_WITHOUT_BODY = setOf(204, 304)

        /** Time to read a body on top of the header timeout; the largest takes about 0.1 s. */
        val BODY_READ_TIMEOUT = 10.seconds
    }
}
