/** gRPC channels to the other entry hosts. */
package burdockspread.peer

import com.google.common.net.HostAndPort
import io.grpc.ManagedChannel
import io.grpc.netty.NettyChannelBuilder
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** Channel cache with one channel per address; gRPC closes the connections of idle channels. */
internal class PeerChannels : AutoCloseable {
    private val channels = ConcurrentHashMap<String, ManagedChannel>()

    /** Returns the channel to [address], an IP:port. */
    fun to(address: String): ManagedChannel = channels.computeIfAbsent(address) {
        val peer = HostAndPort.fromString(it)
        NettyChannelBuilder
            .forAddress(peer.host, peer.port)
            .usePlaintext()
            .idleTimeout(IDLE_SECONDS, TimeUnit.SECONDS)
            .maxInboundMessageSize(MAX_MESSAGE_BYTES)
            .build()
    }

    override fun close() {
        channels.values.forEach { it.shutdownNow() }
    }

    companion object {
        private const val IDLE_SECONDS = 60L

        /** Maximum size of a message between entry hosts; a complete journal copy must fit. */
        const val MAX_MESSAGE_BYTES: Int = 16 * 1024 * 1024
    }
}
