/** HTTP server for small requests: readiness, peer updates, metrics and the state dump. */
package burdockspread.forward.host

import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import org.apache.logging.log4j.LogManager
import java.io.IOException

/** A small response. */
internal class SimpleHttpResponse(
    val status: Int,
    val body: ByteArray = ByteArray(0),
    val contentType: String = "text/plain",
)

/** A small request; [path] is without the query. */
internal class SimpleHttpRequest(val method: String, val path: String, val body: ByteArray)

/** Handles a request, immediately or later, by calling [reply] once on the same loop. */
internal fun interface SimpleHttpHandler {
    fun handle(request: SimpleHttpRequest, reply: (SimpleHttpResponse) -> Unit)
}

/** Serves [handler] on the connections of a port. */
internal class SimpleHttpServer(private val handler: SimpleHttpHandler) {
    fun onConnection(channel: SocketChannel) {
        channel.pipeline().addLast(
            HttpServerCodec(),
            HttpObjectAggregator(MAX_BODY_BYTES),
            Handler(),
        )
    }

    private inner class Handler : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            val path = request.uri().substringBefore('?')
            val keepAlive = HttpUtil.isKeepAlive(request)
            val body = ByteBufUtil.getBytes(request.content())
            handler.handle(SimpleHttpRequest(request.method().name(), path, body)) {
                write(context, it, keepAlive)
            }
        }

        private fun write(
            context: ChannelHandlerContext,
            result: SimpleHttpResponse,
            keepAlive: Boolean,
        ) {
            val response = DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(result.status),
                Unpooled.wrappedBuffer(result.body),
            )
            response.headers()["Content-Type"] = result.contentType
            HttpUtil.setContentLength(response, result.body.size.toLong())
            HttpUtil.setKeepAlive(response, keepAlive)
            val written = context.writeAndFlush(response)
            if (!keepAlive) written.addListener(ChannelFutureListener.CLOSE)
        }

        @Deprecated("Netty deprecates this method in ChannelHandler but still calls it")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            // A peer or an operator that closes its connection can cause an IOException.
            if (cause !is IOException) log.error("a small request failed", cause)
            context.close()
        }
    }

    private companion object {
        const val MAX_BODY_BYTES = 65_536
        val log = LogManager.getLogger(SimpleHttpServer::class.java)
    }
}
