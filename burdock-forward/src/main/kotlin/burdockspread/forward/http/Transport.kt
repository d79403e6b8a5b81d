/** Sockets: event loops, listening ports and connections with bounded detection of dead peers. */
package burdockspread.forward.http

import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.IoEventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioDatagramChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import jdk.net.ExtendedSocketOptions
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Two event loops: one for requests, one for the store and peers, so that reading a large
 * configuration does not hold requests up.
 */
public class Transport {
    private val group: IoEventLoopGroup =
        MultiThreadIoEventLoopGroup(LOOPS, NioIoHandler.newFactory())

    /** The loop on which requests are served. */
    public val requests: EventLoop = group.next() as EventLoop

    /** The loop for the store and peers. */
    public val control: EventLoop = group.next() as EventLoop

    /** Serves [address], an IP:port, on [loop]. Throws BindException when that is not possible. */
    public fun listen(
        loop: EventLoop,
        address: String,
        onConnection: (SocketChannel) -> Unit,
    ): Channel {
        val (ip, port) = split(address)
        return ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(initializer(onConnection))
            .bind(InetSocketAddress(ip, port))
            .sync()
            .channel()
    }

    /** Receives datagrams at [address], an IP:port, on the request loop. */
    public fun listenDatagrams(address: String, handler: ChannelHandler): Channel {
        val (ip, port) = split(address)
        return Bootstrap()
            .group(requests)
            .channel(NioDatagramChannel::class.java)
            .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
            .handler(handler)
            .bind(InetSocketAddress(ip, port))
            .sync()
            .channel()
    }

    /** Connects to [address] on [loop]. [onResult] gets null when that fails. */
    public fun connect(
        loop: EventLoop,
        address: String,
        onConnection: (SocketChannel) -> Unit,
        onResult: (Channel?) -> Unit,
    ) {
        val (ip, port) = split(address)
        Bootstrap()
            .group(loop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                CONNECT_TIMEOUT.inWholeMilliseconds.toInt(),
            )
            .handler(initializer(onConnection))
            .connect(InetSocketAddress(ip, port))
            .addListener(
                ChannelFutureListener {
                    onResult(if (it.isSuccess) it.channel() else null)
                },
            )
    }

    /** Ends the loops. */
    public fun close() {
        group.shutdownGracefully(
            0,
            CLOSE_TIMEOUT_MILLIS,
            TimeUnit.MILLISECONDS,
        )
    }

    private fun initializer(onConnection: (SocketChannel) -> Unit) =
        object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                keepAlive(channel)
                onConnection(channel)
            }
        }

    /** A peer that has gone silent is noticed after about three seconds without traffic. */
    private fun keepAlive(channel: Channel) {
        channel.config().setOption(ChannelOption.SO_KEEPALIVE, true)
        channel.config().setOption(KEEP_IDLE, 1)
        channel.config().setOption(KEEP_INTERVAL, 1)
        channel.config().setOption(KEEP_COUNT, 2)
    }

    private fun split(address: String): Endpoint =
        Endpoint(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())

    private data class Endpoint(val ip: String, val port: Int)

    private companion object {
        const val LOOPS = 2
        const val BACKLOG = 1_024
        const val CLOSE_TIMEOUT_MILLIS = 200L

        /** Targets and peers are some milliseconds away; a lost opening packet costs more. */
        val CONNECT_TIMEOUT: Duration = 250.milliseconds
        val KEEP_IDLE = NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE)
        val KEEP_INTERVAL = NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL)
        val KEEP_COUNT = NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT)
    }
}
