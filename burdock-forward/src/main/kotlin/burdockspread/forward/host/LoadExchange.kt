/** Tells the hosts of the own failure domain which runners this host uses, by datagrams. */
package burdockspread.forward.host

import burdockspread.forward.http.Transport
import burdockspread.forward.load.PeerLoads
import burdockspread.id.HostId
import burdockspread.id.TargetId
import burdockspread.wire.forward.HostLoads
import burdockspread.wire.forward.TargetRuns
import com.google.protobuf.InvalidProtocolBufferException
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.toImmutableMap
import org.apache.logging.log4j.LogManager
import java.net.InetSocketAddress
import kotlin.time.Instant

/**
 * Carries out what [PeerLoads] decides. A lost datagram is made good by the next one, so nothing is
 * acknowledged. All on the request loop, but for [onPeers].
 *
 * @param address IP:port of this host; the others listen on the same port.
 */
internal class LoadExchange(
    private val self: HostId,
    private val address: String,
    private val transport: Transport,
    private val pools: ServicePools,
    private val now: () -> Instant,
) {
    private val loads = PeerLoads()
    private val port = address.substringAfterLast(':').toInt()
    private var channel: Channel? = null
    private var sequence = now().toEpochMilliseconds()

    @Volatile
    private var peers = emptyList<InetSocketAddress>()

    /** Opens the port. To be called before [tick]. */
    fun start() {
        channel = transport.listenDatagrams(address, Receiver())
    }

    /** Takes the peer addresses of the other hosts of the failure domain. */
    fun onPeers(addresses: List<String>) {
        peers = addresses.map { InetSocketAddress(it.substringBeforeLast(':'), port) }
    }

    /** Tells and takes what is due; to be called some ten times a second. */
    fun tick() {
        val at = now()
        tell(at)
        if (!loads.changed) return
        val total = loads.total(at) ?: return
        pools.all.forEach { it.policy.onPeerLoads(total, at) }
    }

    private fun tell(at: Instant) {
        val receivers = peers
        val open = channel ?: return
        val own = localLoads()
        if (receivers.isEmpty() || !loads.isDue(own, at)) return
        val bytes = encode(own)
        receivers.forEach { open.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), it)) }
        open.flush()
        loads.onSent(own, receivers.size, bytes.size, at)
    }

    private fun localLoads(): ImmutableMap<TargetId, Int> =
        pools.all.flatMap { it.policy.localLoads().entries }
            .associate { it.key to it.value }.toImmutableMap()

    private fun encode(own: Map<TargetId, Int>): ByteArray {
        val message = HostLoads.newBuilder().setHost(self.value).setSequence(++sequence)
        own.forEach { (target, runs) ->
            message.addTargets(TargetRuns.newBuilder().setTarget(target.value).setRuns(runs))
        }
        return message.build().toByteArray()
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(context: ChannelHandlerContext, packet: DatagramPacket) {
            val message =
                try {
                    HostLoads.parseFrom(ByteBufUtil.getBytes(packet.content()))
                } catch (e: InvalidProtocolBufferException) {
                    log.warn("{} sent loads that cannot be read: {}", packet.sender(), e.message)
                    return
                }
            val runs = message.targetsList.associate { TargetId(it.target) to it.runs }
            loads.onTold(HostId(message.host), message.sequence, runs, now())
        }

        @Deprecated("Netty's own name for errors of a channel")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            // An unreachable host is reported here; the channel serves the others.
            log.debug("loads could not be told: {}", cause.message)
        }
    }

    private companion object {
        val log = LogManager.getLogger(LoadExchange::class.java)
    }
}
