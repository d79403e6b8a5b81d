/** Idle timeout for connections. */
package burdockspread.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.timeout.IdleStateEvent
import io.netty.handler.timeout.IdleStateHandler
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * Closes a connection after [timeout] without traffic, unless a response is pending on it. This
 * also closes connections that never send a complete request head.
 */
internal class IdleConnectionHandler(timeout: Duration) :
    IdleStateHandler(0, 0, timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS) {
    private var pendingResponses = 0

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is HttpRequest) pendingResponses++
        super.channelRead(context, message)
    }

    override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
        if (message is LastHttpContent) pendingResponses--
        super.write(context, message, promise)
    }

    override fun channelIdle(context: ChannelHandlerContext, event: IdleStateEvent) {
        if (pendingResponses <= 0) context.close()
    }
}
