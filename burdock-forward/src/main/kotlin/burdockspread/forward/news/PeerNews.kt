/** Asks peers for news: the relay that the host follows, or any peer when nothing else helps. */
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
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Keeps the peers' addresses, and pulls what they know beyond this host.
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

    /** Where this host left the journals of the relays that it asked. */
    private val positions = HashMap<String, JournalPosition>()
    private var followedAt: Instant = Instant.DISTANT_PAST

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
            positions.keys.retainAll(peers)
        }
    }

    /** Runs until it is cancelled. */
    public suspend fun run() {
        while (true) {
            delay(ROUND)
            news.tick()
            if (needsAnyPeer()) peers.randomOrNull(random)?.let { ask(it) }
        }
    }

    /** Whether neither the store nor a relay keeps this host up to date. */
    private fun needsAnyPeer(): Boolean {
        val now = clock.now()
        return !news.watches(now) && now - followedAt > FOLLOW_WAIT + CALL_TIMEOUT
    }

    /**
     * Waits at [relay] for something newer. True when it answered and the store itself keeps it up
     * to date.
     */
    public suspend fun follow(relay: String): Boolean {
        val followed = ask(relay, FOLLOW_WAIT) == true
        if (followed) followedAt = clock.now()
        return followed
    }

    /** Asks [peer] for what it knows beyond this host; null when no answer came. */
    public suspend fun ask(peer: String, wait: Duration = Duration.ZERO): Boolean? {
        val request = news.request(host, own).toBuilder()
        positions[peer]?.let {
            request.setJournalId(it.journal).setJournalPosition(it.position)
        }
        request.waitMillis = wait.inWholeMilliseconds.toInt()
        val call = CallRequest("POST", PATH, request.build().toByteArray(), PROTOBUF)
        val reply = read(peer, calls.call(peer, call, wait + CALL_TIMEOUT)) ?: return null
        positions[peer] = JournalPosition(reply.journalId, reply.journalPosition)
        reply.peersList.forEach(::onPeer)
        news.onReply(reply, reply.confirmed)
        return reply.confirmed
    }

    /** Tells a few peers of a lost target; each that had not heard of it tells a few more. */
    public suspend fun tell(loss: TargetLoss): Unit = coroutineScope {
        val request = CallRequest("POST", LOSS_PATH, loss.toByteArray(), PROTOBUF)
        peers.shuffled(random).take(LOSS_FANOUT).forEach { peer ->
            // A peer that does not answer hears of it from another one, or finds out by itself.
            launch { calls.call(peer, request, CALL_TIMEOUT) }
        }
    }

    private fun read(peer: String, result: CallResult): NewsReply? {
        if (result !is CallResult.Answer || result.status != OK) {
            positions -= peer
            return null
        }
        return try {
            NewsReply.parseFrom(result.body)
        } catch (e: InvalidProtocolBufferException) {
            log.warn("peer {} sent news that cannot be read: {}", peer, e.message)
            null
        }
    }

    private class JournalPosition(val journal: Long, val position: Long)

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

        /**
         * Wait at a relay. With the time for the call, a relay that falls silent is noticed in half
         * of the two seconds in which an edit has to be in force.
         */
        private val FOLLOW_WAIT = 800.milliseconds
        private val log = LogManager.getLogger(PeerNews::class.java)
    }
}
