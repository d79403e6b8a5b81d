/** Datagrams between hosts: load reports within a failure domain, quarantine news to all. */
package burdockspread.forward.host

import burdockspread.forward.http.Transport
import burdockspread.forward.load.HostLoad
import burdockspread.forward.load.PeerLoads
import burdockspread.forward.load.PromptLocations
import burdockspread.id.HostId
import burdockspread.id.TargetId
import burdockspread.wire.forward.HostLoads
import burdockspread.wire.forward.PromptAtTarget
import burdockspread.wire.forward.QuarantineNews
import burdockspread.wire.forward.TargetRuns
import burdockspread.wire.forward.VersionEvidence
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
import java.io.IOException
import java.net.InetSocketAddress
import kotlin.time.Instant

/**
 * Applies the decisions of [PeerLoads]. The next datagram makes up for a lost one, so nothing is
 * acknowledged. Confined to the request loop, except for [onPeers].
 *
 * @param address IP:port of this host; the other hosts listen on the same port.
 * @param onEvidence called with another host's counts of a rollout.
 * @param onQuarantineNews called with the news of another host and its address.
 */
internal class LoadExchange(
    private val self: HostId,
    private val address: String,
    private val transport: Transport,
    private val pools: ServicePools,
    private val prompts: PromptLocations,
    private val now: () -> Instant,
    private val onEvidence: (HostId, Long, VersionEvidence) -> Unit = { _, _, _ -> },
    private val onQuarantineNews: (QuarantineNews, InetSocketAddress) -> Unit = { _, _ -> },
) {
    private val loads = PeerLoads()
    private val port = address.substringAfterLast(':').toInt()
    private var channel: Channel? = null
    private var sequence = now().toEpochMilliseconds()

    @Volatile
    private var peers = emptyList<InetSocketAddress>()

    /** Where the other hosts of all failure domains listen. */
    @Volatile
    var allHosts: List<InetSocketAddress> = emptyList()

    /** Opens the port. Must be called before [tick]. */
    fun start() {
        channel = transport.listenDatagrams(address, Receiver())
    }

    /** Sets the peer addresses of the other hosts of the failure domain. */
    fun onPeers(addresses: List<String>) {
        peers = addresses.map(::endpoint)
    }

    /** Returns the address at which the host with the peer address [peerAddress] listens. */
    fun endpoint(peerAddress: String): InetSocketAddress =
        InetSocketAddress(peerAddress.substringBeforeLast(':'), port)

    /** Sends [news] to each of [receivers]. */
    fun send(news: QuarantineNews, receivers: Collection<InetSocketAddress>): Unit =
        send(HostLoads.newBuilder().setQuarantine(news), receivers)

    /** Sends [evidence] to the hosts of all failure domains. */
    fun send(evidence: VersionEvidence): Unit =
        send(HostLoads.newBuilder().setSequence(++sequence).setEvidence(evidence), allHosts)

    private fun send(message: HostLoads.Builder, receivers: Collection<InetSocketAddress>) {
        val open = channel ?: return
        val bytes = message.setHost(self.value).build().toByteArray()
        receivers.forEach { open.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), it)) }
        open.flush()
    }

    /** Sends and applies the reports that are due. Called about ten times per second. */
    fun tick() {
        val at = now()
        sendReport(at)
        if (!loads.changed) return
        val total = loads.total(at) ?: return
        pools.all.forEach { it.policy.onPeerLoads(total, at) }
    }

    private fun sendReport(at: Instant) {
        val receivers = peers
        val open = channel ?: return
        val reported = localLoads()
        if (receivers.isEmpty() || !loads.isDue(reported, at)) return
        val bytes = encode(reported, at)
        receivers.forEach { open.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), it)) }
        open.flush()
        loads.onSent(reported, receivers.size, bytes.size, at)
    }

    private fun localLoads(): ImmutableMap<TargetId, HostLoad> =
        pools.all.flatMap { it.policy.localLoads().entries }
            .associate { it.key to it.value }.toImmutableMap()

    private fun encode(reported: Map<TargetId, HostLoad>, at: Instant): ByteArray {
        val message = HostLoads.newBuilder().setHost(self.value).setSequence(++sequence)
        reported.forEach { (target, load) ->
            message.addTargets(
                TargetRuns.newBuilder()
                    .setTarget(target.value)
                    .setRuns(load.runs)
                    .setUnreadTokens(load.unreadTokens),
            )
        }
        prompts.recentlySent(at).entries.take(MAX_REPORTED_PROMPTS).forEach { (prompt, target) ->
            message.addPrompts(
                PromptAtTarget.newBuilder().setPrompt(prompt).setTarget(target.value),
            )
        }
        return message.build().toByteArray()
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(context: ChannelHandlerContext, packet: DatagramPacket) {
            val message =
                try {
                    HostLoads.parseFrom(ByteBufUtil.getBytes(packet.content()))
                } catch (e: InvalidProtocolBufferException) {
                    log.warn("load report from {} is malformed: {}", packet.sender(), e.message)
                    return
                }
            if (message.hasEvidence()) {
                return onEvidence(HostId(message.host), message.sequence, message.evidence)
            }
            if (message.hasQuarantine()) {
                return onQuarantineNews(message.quarantine, packet.sender())
            }
            val runs = message.targetsList
                .filter { it.runs in VALID_RUNS && it.unreadTokens in VALID_TOKENS }
                .associate { TargetId(it.target) to HostLoad(it.runs, it.unreadTokens) }
            val at = now()
            loads.onReport(HostId(message.host), message.sequence, runs, at)
            message.promptsList.take(MAX_REPORTED_PROMPTS).forEach {
                prompts.onPeerSent(it.prompt, TargetId(it.target), at)
            }
        }

        @Deprecated("Netty deprecates this method in ChannelHandler but still calls it")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            if (cause is IOException) {
                // An unreachable peer can cause this; the channel still serves the others.
                log.debug("error on the load report channel: {}", cause.message)
            } else {
                log.error("a load report was not applied", cause)
            }
        }
    }

    private companion object {
        /** Prompts in one report, about 25 bytes each. */
        const val MAX_REPORTED_PROMPTS = 40

        /** Requests of one host at one target; other numbers are malformed. */
        val VALID_RUNS = 0..100_000
        val VALID_TOKENS = 0..1_000_000_000
        val log = LogManager.getLogger(LoadExchange::class.java)
    }
}
