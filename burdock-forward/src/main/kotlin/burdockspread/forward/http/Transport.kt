/** Event loops, listening ports and connections that detect dead peers in bounded time. */
package burdockspread.forward.http

import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.FixedRecvByteBufAllocator
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
import java.nio.channels.ServerSocketChannel
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Two event loops: one for requests, one for the store and peers, so that parsing a large
 * configuration does not delay requests.
 */
public class Transport {
    private val group: IoEventLoopGroup =
        MultiThreadIoEventLoopGroup(LOOPS, NioIoHandler.newFactory())

    /** The loop that serves requests. */
    public val requests: EventLoop = group.next() as EventLoop

    /** The loop for the store and peers. */
    public val control: EventLoop = group.next() as EventLoop

    /** Listens at [address], an IP:port, on [loop]. Throws BindException if that fails. */
    public fun listen(
        loop: EventLoop,
        address: String,
        onConnection: (SocketChannel) -> Unit,
    ): Channel {
        val (ip, port) = parseEndpoint(address)
        return server(loop, onConnection)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .bind(InetSocketAddress(ip, port))
            .sync()
            .channel()
    }

    /** Accepts the connections of [listener] on [loop]. */
    public fun accept(
        loop: EventLoop,
        listener: ServerSocketChannel,
        onConnection: (SocketChannel) -> Unit,
    ): CallerListener {
        val channel = server(loop, onConnection)
            .channelFactory { NioServerSocketChannel(listener) }
            .register()
            .sync()
            .channel()
        return CallerListener(channel, listener)
    }

    private fun server(loop: EventLoop, onConnection: (SocketChannel) -> Unit): ServerBootstrap =
        ServerBootstrap()
            .group(loop)
            .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(initializer(onConnection))

    /** Receives datagrams at [address], an IP:port, on the request loop. */
    public fun listenDatagrams(address: String, handler: ChannelHandler): Channel {
        val (ip, port) = parseEndpoint(address)
        return Bootstrap()
            .group(requests)
            .channel(NioDatagramChannel::class.java)
            .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
            .option(ChannelOption.RECVBUF_ALLOCATOR, FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
            .handler(handler)
            .bind(InetSocketAddress(ip, port))
            .sync()
            .channel()
    }

    /** Connects to [address] on [loop]. [onResult] receives null if that fails. */
    public fun connect(
        loop: EventLoop,
        address: String,
        onConnection: (SocketChannel) -> Unit,
        onResult: (Channel?) -> Unit,
    ) {
        val (ip, port) = parseEndpoint(address)
        Bootstrap()
            .group(loop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.RECVBUF_ALLOCATOR, shortReads())
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                CONNECT_TIMEOUT.inWholeMilliseconds.toInt(),
            )
            .handler(initializer(onConnection))
            .connect(InetSocketAddress(ip, port))
            .addListener(
                ChannelFutureListener {
                    val channel = if (it.isSuccess) it.channel() else null
                    // A channel that could not be created has no event loop of its own.
                    if (loop.inEventLoop()) {
                        onResult(channel)
                    } else {
                        loop.execute {
                            onResult(channel)
                        }
                    }
                },
            )
    }

    /** Reads from a server that sends without end leave the loop's time to other connections. */
    private fun shortReads() =
        AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
            .maxMessagesPerRead(1)

    /** Shuts the event loops down. */
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
                enableKeepAlive(channel)
                onConnection(channel)
            }
        }

    /** Enables TCP keep-alive, which detects a dead peer after about three idle seconds. */
    private fun enableKeepAlive(channel: Channel) {
        channel.config().setOption(ChannelOption.SO_KEEPALIVE, true)
        channel.config().setOption(KEEP_IDLE, 1)
        channel.config().setOption(KEEP_INTERVAL, 1)
        channel.config().setOption(KEEP_COUNT, 2)
    }

    private fun parseEndpoint(address: String): Endpoint =
        Endpoint(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())

    private data class Endpoint(val ip: String, val port: Int)

    private companion object {
        const val LOOPS = 2
        const val BACKLOG = 1_024
        const val CLOSE_TIMEOUT_MILLIS = 200L
        const val MIN_READ_BYTES = 64
        const val INITIAL_READ_BYTES = 2_048

        /** Several responses of usual size; a page of the store takes some tens of reads. */
        const val MAX_READ_BYTES = 16_384

        /** Netty cuts longer datagrams off. A report on 500 targets has about 12,000 bytes. */
        const val MAX_DATAGRAM_BYTES = 32_768

        /** Targets and peers are a few milliseconds away; a lost SYN takes longer than this. */
        val CONNECT_TIMEOUT: Duration = 250.milliseconds
        val KEEP_IDLE = NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE)
        val KEEP_INTERVAL = NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL)
        val KEEP_COUNT = NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT)
    }
}
