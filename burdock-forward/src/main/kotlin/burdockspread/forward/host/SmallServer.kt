/** Answers short questions: readiness, peers' news, metrics, the state dump. */
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

/** A short answer. */
internal class SmallAnswer(
    val status: Int,
    val body: ByteArray = ByteArray(0),
    val contentType: String = "text/plain",
)

/** Answers the question at a path, at once or later, by calling [reply] once on the same loop. */
internal fun interface SmallHandler {
    fun answer(path: String, body: ByteArray, reply: (SmallAnswer) -> Unit)
}

/** Serves [handler] on the connections of a port. */
internal class SmallServer(private val handler: SmallHandler) {
    fun onConnection(channel: SocketChannel) {
        channel.pipeline().addLast(HttpServerCodec(), HttpObjectAggregator(MOST_BYTES), Handler())
    }

    private inner class Handler : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            val path = request.uri().substringBefore('?')
            val keep = HttpUtil.isKeepAlive(request)
            handler.answer(path, ByteBufUtil.getBytes(request.content())) {
                write(context, it, keep)
            }
        }

        private fun write(context: ChannelHandlerContext, made: SmallAnswer, keep: Boolean) {
            val response = DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(made.status),
                Unpooled.wrappedBuffer(made.body),
            )
            response.headers()["Content-Type"] = made.contentType
            HttpUtil.setContentLength(response, made.body.size.toLong())
            HttpUtil.setKeepAlive(response, keep)
            val written = context.writeAndFlush(response)
            if (!keep) written.addListener(ChannelFutureListener.CLOSE)
        }

        @Deprecated("Netty's own name for errors of a channel")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    private companion object {
        const val MOST_BYTES = 65_536
    }
}
