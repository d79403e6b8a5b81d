/** The end of a connection that destroys nothing the peer has not read yet. */
package burdockspread.forward.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.socket.DuplexChannel
import io.netty.channel.socket.SocketChannel
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Writes what is queued, shuts the output down, discards what arrives for a short time and closes.
 * Closing at once would drop what is queued, and unread bytes would be answered by a reset, which
 * destroys what the peer has not read.
 */
internal class GracefulClose(
    private val context: ChannelHandlerContext,
    private val onWriteFailed: (Throwable) -> Unit,
) {
    private var hasStarted = false

    /** Starts to close; further calls have no effect. */
    fun start() {
        if (hasStarted) return
        hasStarted = true
        // Bytes that nobody reads would reset the connection.
        context.channel().config().isAutoRead = true
        val flushed = context.writeAndFlush(Unpooled.EMPTY_BUFFER)
        flushed.addListener {
            if (it.isSuccess) shutDownOutput() else fail(it.cause())
        }
        closeAfter(FLUSH_TIMEOUT)
    }

    /** Closes with a reset, so that the end does not complete a response without a length. */
    fun reset() {
        (context.channel() as? SocketChannel)?.config()?.soLinger = 0
        context.close()
    }

    private fun shutDownOutput() {
        (context.channel() as? DuplexChannel)?.shutdownOutput()
        closeAfter(LINGER_TIME)
    }

    private fun fail(cause: Throwable) {
        onWriteFailed(cause)
        context.close()
    }

    private fun closeAfter(wait: Duration) {
        val channel = context.channel()
        val timer = channel.eventLoop()
            .schedule({ context.close() }, wait.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        channel.closeFuture().addListener { timer.cancel(false) }
    }

    private companion object {
        /** Longest time to write what is queued; no caller waits longer than 25 s. */
        val FLUSH_TIMEOUT = 30.seconds

        /** Time to discard what arrives; Linux sends a lost packet again after 200 ms. */
        val LINGER_TIME = 300.milliseconds
    }
}
