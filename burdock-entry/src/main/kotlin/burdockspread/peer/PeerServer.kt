/** gRPC server for the other entry hosts. */
package burdockspread.peer

import com.google.common.net.HostAndPort
import io.grpc.BindableService
import io.grpc.Server
import io.grpc.netty.NettyServerBuilder
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/** gRPC server for [services] on [address], an IP:port. */
internal class PeerServer(address: String, services: List<BindableService>) {
    private val server: Server =
        NettyServerBuilder
            .forAddress(
                HostAndPort.fromString(address).let { InetSocketAddress(it.host, it.port) },
            ).maxInboundMessageSize(PeerChannels.MAX_MESSAGE_BYTES)
            .apply { services.forEach { addService(it) } }
            .build()

    /** Opens the port. */
    fun start() {
        server.start()
    }

    /** Closes the port and terminates open calls. */
    fun stop() {
        server.shutdown()
        if (!server.awaitTermination(1, TimeUnit.SECONDS)) server.shutdownNow()
    }
}
