/** Pooled client connections of one event loop. */
package burdockspread.forward.http

import io.netty.buffer.ByteBufUtil
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
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import java.io.IOException

/** Takes the answer to one request. */
public interface AnswerSink {
    public fun onResponseHead(response: HttpResponse)

    public fun onBody(bytes: ByteArray)

    /** The answer is whole. [reusable]: the target keeps the connection and has the request. */
    public fun onEnd(reusable: Boolean)

    /** No connection could be made; nothing was sent. */
    public fun onNotConnected()

    /** The answer is not whole; [malformed] when its bytes are no answer in the protocol. */
    public fun onBroken(malformed: Boolean)
}

/** A request under way on a connection of its own. */
public interface Sent {
    /** Closes the connection; nothing more is heard of the request. */
    public fun drop()

    /** Gives the connection back after a whole answer. */
    public fun release(reusable: Boolean)

    /** Stops or goes on reading, for a caller that reads slowly. */
    public fun reading(on: Boolean)
}

/** Connections to many addresses. To be used on [loop] only. */
public class Connections(private val transport: Transport, private val loop: EventLoop) {
    private val idle = HashMap<String, ArrayDeque<IdleConnection>>()

    /** Sends [request] to [address] by an idle or a new connection. */
    public fun send(address: String, request: FullHttpRequest, sink: AnswerSink): Sent {
        val sent = Use(address, request, sink)
        val channel = takeIdle(address)
        if (channel != null) {
            sent.start(channel)
        } else {
            transport.connect(loop, address, ::install, sent::onConnected)
        }
        return sent
    }

    private fun install(channel: SocketChannel) {
        val decoder = AnswerDecoder()
        channel.pipeline().addLast(HttpRequestEncoder(), decoder, Receiver(decoder))
    }

    private fun takeIdle(address: String): Channel? {
        val waiting = idle[address] ?: return null
        val now = System.nanoTime()
        while (true) {
            val candidate = waiting.removeLastOrNull() ?: return null
            if (candidate.channel.isActive && now < candidate.usableUntil) return candidate.channel
            candidate.channel.close()
        }
    }

    private fun keep(address: String, channel: Channel, receiver: Receiver) {
        val until = System.nanoTime() + receiver.keepAliveMillis * NANOS_PER_MILLI
        idle.getOrPut(address) { ArrayDeque() }.addLast(IdleConnection(channel, until))
    }

    private class IdleConnection(val channel: Channel, val usableUntil: Long)

    private inner class Use(
        private val address: String,
        private val request: FullHttpRequest,
        private val sink: AnswerSink,
    ) : Sent {
        private var channel: Channel? = null
        private var dropped = false
        private var written = false

        fun onConnected(connected: Channel?) {
            when {
                dropped -> {
                    connected?.close()
                    request.release()
                }
                connected == null -> {
                    request.release()
                    sink.onNotConnected()
                }
                else -> start(connected)
            }
        }

        fun start(connected: Channel) {
            channel = connected
            val receiver = connected.pipeline().get(Receiver::class.java)
            receiver.begin(sink, request.method() == HttpMethod.HEAD) { written }
            connected.writeAndFlush(request).addListener { written = it.isSuccess }
        }

        override fun drop() {
            dropped = true
            val open = channel ?: return
            open.pipeline().get(Receiver::class.java)?.finish()
            open.close()
        }

        override fun release(reusable: Boolean) {
            val open = channel ?: return
            val receiver = open.pipeline().get(Receiver::class.java)
            receiver?.finish()
            open.config().isAutoRead = true
            val kept = reusable && open.isActive && receiver != null
            if (kept) keep(address, open, receiver) else open.close()
        }

        override fun reading(on: Boolean) {
            channel?.config()?.isAutoRead = on
        }
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}

/** Hands what arrives on one connection to the request that uses it. */
private class Receiver(private val decoder: AnswerDecoder) :
    SimpleChannelInboundHandler<HttpObject>() {
    private var sink: AnswerSink? = null
    private var sentWhole: () -> Boolean = { true }
    private var keepAlive = true
    private var interim = false

    /** Time for which the target keeps the connection, less a margin for the way. */
    var keepAliveMillis = DEFAULT_KEEP_ALIVE_MILLIS
        private set

    fun begin(sink: AnswerSink, headOnly: Boolean, sentWhole: () -> Boolean) {
        this.sink = sink
        this.sentWhole = sentWhole
        decoder.headOnly = headOnly
        keepAlive = true
    }

    fun finish() {
        sink = null
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        val user = sink
        if (user == null) {
            // Bytes that no request waits for; whatever follows on this connection is suspect.
            context.close()
            return
        }
        if (message.decoderResult().isFailure) {
            sink = null
            context.close()
            user.onBroken(malformed = true)
            return
        }
        if (message is HttpResponse) onResponseHead(message, user)
        if (message is HttpContent && !interim) onContent(message)
    }

    private fun onResponseHead(response: HttpResponse, user: AnswerSink) {
        interim = response.status().code() < FIRST_FINAL_STATUS
        if (interim) return
        val headers = response.headers()
        keepAlive = HttpUtil.isKeepAlive(response) &&
            (HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response))
        KEEP_ALIVE_SECONDS.find(headers["Keep-Alive"].orEmpty())?.let {
            val stated = it.groupValues[1].toLong() * MILLIS_PER_SECOND
            keepAliveMillis = (stated - KEEP_ALIVE_MARGIN_MILLIS).coerceAtLeast(0)
        }
        user.onResponseHead(response)
    }

    private fun onContent(content: HttpContent) {
        if (content.content().isReadable) sink?.onBody(ByteBufUtil.getBytes(content.content()))
        if (content is LastHttpContent) sink?.onEnd(keepAlive && sentWhole())
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        val user = sink
        sink = null
        context.close()
        user?.onBroken(malformed = cause !is IOException)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        val user = sink
        sink = null
        user?.onBroken(malformed = false)
    }

    private companion object {
        const val FIRST_FINAL_STATUS = 200
        const val MILLIS_PER_SECOND = 1_000L
        const val KEEP_ALIVE_MARGIN_MILLIS = 400L

        /** Assumed where a target does not say how long it keeps idle connections. */
        const val DEFAULT_KEEP_ALIVE_MILLIS = 4_000L
        val KEEP_ALIVE_SECONDS = Regex("timeout=(\\d{1,6})")
    }
}
