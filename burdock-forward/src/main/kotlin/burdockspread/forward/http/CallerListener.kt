/** The socket at which callers connect. */
package burdockspread.forward.http

import io.netty.channel.Channel
import io.netty.channel.socket.nio.NioSocketChannel
import org.apache.logging.log4j.LogManager
import java.io.IOException
import java.nio.channels.ServerSocketChannel

/** Accepts the connections of [socket] by [channel]. */
public class CallerListener internal constructor(
    private val channel: Channel,
    private val socket: ServerSocketChannel,
) {
    /**
     * Accepts the connections that wait in the kernel, which would otherwise be reset, and closes
     * the socket. Returns their number. Must be called on the channel's event loop.
     */
    public fun closeAfterAccepting(): Int {
        var accepted = 0
        try {
            while (true) {
                val next = socket.accept() ?: break
                channel.pipeline().fireChannelRead(NioSocketChannel(channel, next))
                accepted++
            }
        } catch (e: IOException) {
            LogManager.getLogger("stop").warn("cannot accept waiting connections", e)
        }
        channel.close()
        return accepted
    }
}
