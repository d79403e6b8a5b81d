/** Asks peers for news while the store does not keep the host up to date. */
package burdockspread.forward.news

import burdockspread.forward.http.CallRequest
import burdockspread.forward.http.CallResult
import burdockspread.forward.http.Calls
import burdockspread.time.TimeSource
import burdockspread.wire.forward.NewsReply
import burdockspread.wire.forward.TargetLoss
import com.google.protobuf.InvalidProtocolBufferException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/**
 * Keeps the peers' addresses, and pulls what they know beyond this host, one peer at a time.
 *
 * @param own peer address of this host, IP:port.
 */
public class PeerNews(
    private val host: String,
    private val own: String,
    seeds: List<String>,
    private val news: HostNews,
    private val calls: Calls,
    private val clock: TimeSource,
    private val random: Random,
) {
    private val peers = LinkedHashSet<String>(seeds - own)

    /** Addresses of all hosts known, this one included. */
    public fun known(): List<String> = peers.take(MOST_TOLD) + own

    /** Number of hosts known, this one included. */
    public val hosts: Int get() = peers.size + 1

    /** Learns of a host. */
    public fun onPeer(address: String) {
        if (address != own && address.isNotEmpty()) peers += address
    }

    /** Replaces the hosts by those that the store lists, seeds kept while it lists none. */
    public fun onListed(addresses: List<String>) {
        if (addresses.isNotEmpty()) {
            peers.clear()
            addresses.forEach(::onPeer)
        }
    }

    /** Runs until it is cancelled. */
    public suspend fun run() {
        while (true) {
            delay(ROUND)
            news.tick()
            if (news.needsPeers(clock.now())) askOne()
        }
    }

    /** Tells a few peers of a lost target; each that had not heard of it tells a few more. */
    public suspend fun tell(loss: TargetLoss): Unit = coroutineScope {
        val request = CallRequest("POST", LOSS_PATH, loss.toByteArray(), PROTOBUF)
        peers.shuffled(random).take(LOSS_FANOUT).forEach { peer ->
            // A peer that does not answer hears of it from another one, or finds out by itself.
            launch { calls.call(peer, request, CALL_TIMEOUT) }
        }
    }

    private suspend fun askOne() {
        val peer = peers.randomOrNull(random) ?: return
        val body = news.request(host, own).toByteArray()
        val request = CallRequest("POST", PATH, body, PROTOBUF)
        val result = calls.call(peer, request, CALL_TIMEOUT)
        if (result !is CallResult.Answer || result.status != OK) return
        val reply =
            try {
                NewsReply.parseFrom(result.body)
            } catch (e: InvalidProtocolBufferException) {
                log.warn("peer {} sent news that cannot be read: {}", peer, e.message)
                return
            }
        reply.peersList.forEach(::onPeer)
        news.onReply(reply, reply.confirmed)
    }

    public companion object {
        /** Path of the call at a host's peer address. */
        public const val PATH: String = "/peer/news"

        /** Path of the call that tells of a lost target. */
        public const val LOSS_PATH: String = "/peer/loss"
        private const val PROTOBUF = "application/x-protobuf"

        /** Peers told by each host; three reach all of 14 hosts, or of 130, with few repeats. */
        private const val LOSS_FANOUT = 3
        private const val OK = 200
        private const val MOST_TOLD = 32

        /** Half a second keeps an edit within its two seconds also by way of a peer. */
        private val ROUND = 400.milliseconds
        private val CALL_TIMEOUT = 350.milliseconds
        private val log = LogManager.getLogger(PeerNews::class.java)
    }
}
