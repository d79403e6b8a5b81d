/** Client connection pool of one event loop. */
package burdockspread.forward.http

import burdockspread.buffer.BufferBudget
import burdockspread.forward.exchange.ConnectionUse
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import org.apache.logging.log4j.LogManager
import java.io.ByteArrayOutputStream
import java.io.IOException
import kotlin.time.Duration.Companion.seconds

/** Receives the response to one request. */
public interface ResponseHandler {
    public fun onResponseHead(response: HttpResponse)

    public fun onBody(bytes: ByteArray)

    /**
     * Called when the response is complete. [reusable]: the target keeps the connection open and
     * has received the whole request.
     */
    public fun onEnd(reusable: Boolean)

    /** Called when no connection could be established; nothing was sent. */
    public fun onNotConnected()

    /** Called when the response is incomplete; [malformed] if its bytes are not valid HTTP. */
    public fun onBroken(malformed: Boolean)
}

/** A request in flight on its own connection. */
public interface OutgoingRequest {
    /** Closes the connection; the handler is not called any more. */
    public fun cancel()

    /** Returns the connection to the pool after a complete response. */
    public fun release(reusable: Boolean)

    /** Pauses or resumes reading, for backpressure from a slow caller. */
    public fun setReading(on: Boolean)
}

/**
 * Connection pool for many addresses. Confined to [loop].
 *
 * Bytes that follow a response would be read as the start of the next one, so a connection with
 * such bytes is closed, and for [DISTRUST_TIME] no connection to its address is used twice.
 */
public class Connections(private val transport: Transport, private val loop: EventLoop) {
    private val idle = HashMap<String, ArrayDeque<IdleConnection>>()
    private val distrustedUntil = HashMap<String, Long>()
    private val heads = BufferBudget(HEADS_BYTES, FREE_HEAD_BYTES)

    /** Sends [request] to [address] over a connection that [use] allows. */
    public fun send(
        address: String,
        request: FullHttpRequest,
        handler: ResponseHandler,
        use: ConnectionUse = ConnectionUse.SHARED,
    ): OutgoingRequest {
        val sent = PooledRequest(address, request, handler, use)
        val channel = if (use.takesIdle) takeIdle(address) else null
        if (channel != null) {
            sent.start(channel)
        } else {
            transport.connect(loop, address, ::install, sent::onConnected)
        }
        return sent
    }

    private fun install(channel: SocketChannel) {
        val decoder = ResponseDecoder(heads)
        channel.pipeline().addLast(HttpRequestEncoder(), decoder, Receiver(decoder))
    }

    private fun takeIdle(address: String): Channel? {
        val candidates = idle[address] ?: return null
        val now = System.nanoTime()
        while (true) {
            val candidate = candidates.removeLastOrNull() ?: return null
            if (candidate.isUsable(now) && !isDistrusted(address, now)) return candidate.channel
            candidate.channel.close()
        }
    }

    private fun isDistrusted(address: String, now: Long): Boolean {
        val until = distrustedUntil[address] ?: return false
        if (now >= until) distrustedUntil -= address
        return now < until
    }

    private fun distrust(address: String) {
        val until = System.nanoTime() + DISTRUST_TIME.inWholeNanoseconds
        val before = distrustedUntil.put(address, until)
        if (before == null) log.info("target {} sent bytes after a response", address)
    }

    private fun returnToPool(address: String, channel: Channel, receiver: Receiver) {
        val until = System.nanoTime() + receiver.keepAliveMillis * NANOS_PER_MILLI
        val connection = IdleConnection(channel, receiver, until)
        idle.getOrPut(address) { ArrayDeque() }.addLast(connection)
    }

    private class IdleConnection(
        val channel: Channel,
        private val receiver: Receiver,
        private val usableUntil: Long,
    ) {
        fun isUsable(now: Long): Boolean =
            channel.isActive && now < usableUntil && !receiver.hasUnparsedBytes
    }

    private inner class PooledRequest(
        private val address: String,
        private val request: FullHttpRequest,
        private val handler: ResponseHandler,
        private val use: ConnectionUse,
    ) : OutgoingRequest {
        private var channel: Channel? = null
        private var isCancelled = false
        private var written = false
        private var isReading = true

        fun onConnected(connected: Channel?) {
            when {
                isCancelled -> {
                    connected?.close()
                    request.release()
                }
                connected == null -> {
                    request.release()
                    handler.onNotConnected()
                }
                else -> start(connected)
            }
        }

        fun start(connected: Channel) {
            channel = connected
            val receiver = connected.pipeline().get(Receiver::class.java)
            receiver.onUnsolicitedBytes = { distrust(address) }
            receiver.begin(handler, request.method() == HttpMethod.HEAD) { written }
            connected.config().isAutoRead = isReading
            connected.writeAndFlush(request).addListener {
                written = it.isSuccess
                // The end of a connection that broke before this is not reported again.
                if (!it.isSuccess) loop.execute { receiver.fail(handler) }
            }
        }

        override fun cancel() {
            isCancelled = true
            val open = channel ?: return
            open.pipeline().get(Receiver::class.java)?.detach()
            open.close()
        }

        override fun release(reusable: Boolean) {
            val open = channel ?: return
            // A late cancel must not close a connection that carries another request.
            channel = null
            val receiver = open.pipeline().get(Receiver::class.java)
            receiver?.detach()
            open.config().isAutoRead = true
            if (receiver?.hasUnparsedBytes == true) receiver.onUnsolicitedBytes()
            val mayBeKept = reusable && use.isKept && open.isActive
            val kept = mayBeKept && receiver?.hasUnparsedBytes == false
            if (kept) returnToPool(address, open, receiver) else open.close()
        }

        override fun setReading(on: Boolean) {
            isReading = on
            channel?.config()?.isAutoRead = on
        }
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L

        /** Memory of heads in arrival beyond [FREE_HEAD_BYTES] each; the largest has 32 KB. */
        const val HEADS_BYTES = 4_194_304

        /** Several times the usual size of a head. */
        const val FREE_HEAD_BYTES = 2_048

        /** A target in such trouble repeats it for seconds; new connections cost little. */
        val DISTRUST_TIME = 5.seconds
        val log = LogManager.getLogger(Connections::class.java)
    }
}

/** Dispatches what arrives on a connection to the request that currently uses it. */
private class Receiver(private val decoder: ResponseDecoder) :
    SimpleChannelInboundHandler<HttpObject>() {
    private var handler: ResponseHandler? = null
    private var isRequestSent: () -> Boolean = { true }
    private var keepAlive = true
    private var isInterim = false
    private var interimResponses = 0

    /** What has been read of a body and not been handed over yet. */
    private var arrived = ByteArrayOutputStream()

    /** Called when bytes have arrived that belong to no request. */
    var onUnsolicitedBytes: () -> Unit = {}
    val hasUnparsedBytes: Boolean get() = decoder.hasUnparsedBytes

    /** Keep-alive time of the target, less a margin for network latency. */
    var keepAliveMillis = DEFAULT_KEEP_ALIVE_MILLIS
        private set

    fun begin(handler: ResponseHandler, isHead: Boolean, isRequestSent: () -> Boolean) {
        this.handler = handler
        this.isRequestSent = isRequestSent
        decoder.isHead = isHead
        keepAlive = true
        interimResponses = 0
        arrived.reset()
    }

    fun detach() {
        handler = null
    }

    /** Reports that the connection is broken if [failed] still uses it. */
    fun fail(failed: ResponseHandler) {
        if (handler !== failed) return
        handler = null
        failed.onBroken(malformed = false)
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        val activeHandler = handler
        if (activeHandler == null) {
            // No request expects these bytes, so nothing that follows on this connection can be
            // trusted.
            onUnsolicitedBytes()
            context.close()
            return
        }
        if (message.decoderResult().isFailure) return reject(context, activeHandler)
        if (message is HttpResponse && !message.hasValidStatus()) {
            log.info(
                "{} sent status {}",
                context.channel().remoteAddress(),
                message.status().code(),
            )
            return reject(context, activeHandler)
        }
        if (message is HttpResponse) onResponseHead(message, activeHandler)
        if (interimResponses > MAX_INTERIM_RESPONSES) return reject(context, activeHandler)
        if (message is HttpContent && !isInterim) onContent(message)
    }

    /** Hands over what one read has brought, which may be many small chunks. */
    override fun channelReadComplete(context: ChannelHandlerContext) {
        handOver()
        context.fireChannelReadComplete()
    }

    private fun handOver() {
        if (arrived.size() == 0) return
        val bytes = arrived.toByteArray()
        arrived.reset()
        handler?.onBody(bytes)
    }

    /** Closes a connection whose bytes are no response. */
    private fun reject(context: ChannelHandlerContext, activeHandler: ResponseHandler) {
        handOver()
        val isDone = handler !== activeHandler
        handler = null
        context.close()
        if (!isDone) activeHandler.onBroken(malformed = true)
    }

    /** No request asks to switch protocols, so what would follow that status is not HTTP. */
    private fun HttpResponse.hasValidStatus(): Boolean =
        status().code() in VALID_STATUSES && status() != HttpResponseStatus.SWITCHING_PROTOCOLS

    private fun onResponseHead(response: HttpResponse, activeHandler: ResponseHandler) {
        isInterim = response.status().code() < FIRST_FINAL_STATUS
        if (isInterim) {
            interimResponses++
            return
        }
        val headers = response.headers()
        keepAlive = HttpUtil.isKeepAlive(response) &&
            (HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response))
        KEEP_ALIVE_SECONDS.find(headers["Keep-Alive"].orEmpty())?.let {
            val stated = it.groupValues[1].toLong() * MILLIS_PER_SECOND
            keepAliveMillis = (stated - KEEP_ALIVE_MARGIN_MILLIS).coerceAtLeast(0)
        }
        activeHandler.onResponseHead(response)
    }

    private fun onContent(content: HttpContent) {
        val bytes = content.content()
        if (bytes.isReadable) bytes.readBytes(arrived, bytes.readableBytes())
        if (content !is LastHttpContent) return
        handOver()
        handler?.onEnd(keepAlive && isRequestSent())
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        handOver()
        val activeHandler = handler
        handler = null
        context.close()
        activeHandler?.onBroken(malformed = cause !is IOException)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        handOver()
        val activeHandler = handler
        handler = null
        activeHandler?.onBroken(malformed = false)
    }

    private companion object {
        const val FIRST_FINAL_STATUS = 200

        /** Others are invalid by RFC 9110, section 15, and count as a failure of the server. */
        val VALID_STATUSES = 100..599

        /** Servers send one or two; more of them keep a request waiting without an answer. */
        const val MAX_INTERIM_RESPONSES = 16
        const val MILLIS_PER_SECOND = 1_000L
        const val KEEP_ALIVE_MARGIN_MILLIS = 400L

        /** Assumed if a target does not state its keep-alive time. */
        const val DEFAULT_KEEP_ALIVE_MILLIS = 4_000L
        val KEEP_ALIVE_SECONDS = Regex("timeout=(\\d{1,6})")
        val log = LogManager.getLogger(Connections::class.java)
    }
}
