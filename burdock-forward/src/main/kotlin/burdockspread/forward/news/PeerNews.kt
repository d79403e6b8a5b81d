/** Pulls updates from the relay that the host follows, or from any peer as a last resort. */
package burdockspread.forward.news

import burdockspread.forward.http.CallRequest
import burdockspread.forward.http.CallResult
import burdockspread.forward.http.Calls
import burdockspread.forward.relay.UpdateTiming
import burdockspread.net.isIpv4Endpoint
import burdockspread.time.TimeSource
import burdockspread.wire.forward.CatalogNotice
import burdockspread.wire.forward.NewsReply
import burdockspread.wire.forward.NewsRequest
import burdockspread.wire.forward.TargetLoss
import com.google.protobuf.InvalidProtocolBufferException
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Maintains the peers' addresses and pulls what they know beyond this host.
 *
 * @param ownAddress peer address of this host, IP:port.
 */
public class PeerNews(
    private val host: String,
    private val ownAddress: String,
    seeds: List<String>,
    private val viewUpdater: HostViewUpdater,
    private val calls: Calls,
    private val clock: TimeSource,
    private val random: Random,
    private val timing: UpdateTiming = UpdateTiming(),
) {
    /** Replaced by the control loop as a whole, since the request loop reads it too. */
    @Volatile
    private var peers: PersistentSet<String> = (seeds - ownAddress).toPersistentSet()

    /** What each peer's last reply said of the peer, for the next request to echo. */
    private val lastHeard = HashMap<String, LastHeard>()

    /** Catalog versions of peers that have announced theirs and were not asked yet. */
    private val announced = LinkedHashMap<String, Long>()
    private var isCatchingUp = false

    /** Returns the addresses of the known hosts, including this one. */
    public fun knownAddresses(): List<String> = peers.take(MAX_SHARED_PEERS) + ownAddress

    /** Number of known hosts, including this one. */
    public val hostCount: Int get() = peers.size + 1

    /** Adds a host, unless its address is malformed. */
    public fun onPeer(address: String) {
        if (address != ownAddress && isIpv4Endpoint(address)) peers = peers.add(address)
    }

    /** Replaces the known hosts by the listed ones; the seeds stay while the store lists none. */
    public fun onListed(addresses: List<String>) {
        if (addresses.isNotEmpty()) {
            val others = addresses.filter { it != ownAddress && isIpv4Endpoint(it) }
            peers = others.toPersistentSet()
            lastHeard.keys.retainAll(peers)
        }
    }

    /** Runs until cancelled. */
    public suspend fun run(): Unit = coroutineScope {
        launch { expireTargets() }
        while (true) {
            delay(POLL_INTERVAL)
            if (viewUpdater.age(clock.now()) > timing.maxAge) {
                peers.randomOrNull(random)?.let { pull(it) }
            }
        }
    }

    /** Runs beside the pulls, which may take long. */
    private suspend fun expireTargets() {
        while (true) {
            delay(POLL_INTERVAL)
            viewUpdater.tick()
        }
    }

    /**
     * Waits at [relay] for an update. Returns true if the store itself keeps the relay up to date,
     * and thereby this host.
     */
    public suspend fun follow(relay: String): Boolean =
        pull(relay, timing.followWait) == true && viewUpdater.age(clock.now()) <= timing.maxAge

    /** Answers a peer's request, after waiting for an update if the peer follows this host. */
    public suspend fun answer(request: NewsRequest): NewsReply {
        val receivedAt = clock.now()
        onPeer(request.address)
        val isFollower = request.waitMillis > 0
        if (isFollower) viewUpdater.awaitUpdate(request)
        val addresses = if (isFollower) emptyList() else knownAddresses()
        return viewUpdater.reply(request, receivedAt, addresses)
    }

    /** Pulls what [peer] knows beyond this host; returns null if it did not answer. */
    public suspend fun pull(peer: String, wait: Duration = Duration.ZERO): Boolean? {
        val request = viewUpdater.request(host, ownAddress).toBuilder()
        lastHeard[peer]?.let {
            request.setProcessId(it.processId).setHeardAtMillis(it.heardAtMillis)
        }
        request.waitMillis = wait.inWholeMilliseconds.toInt()
        val call = CallRequest("POST", PATH, request.build().toByteArray(), PROTOBUF)
        val sentAt = clock.now()
        val reply = read(peer, calls.call(peer, call, wait + CALL_TIMEOUT)) ?: return null
        lastHeard[peer] = LastHeard(reply.processId, reply.heardAtMillis)
        reply.peersList.forEach(::onPeer)
        viewUpdater.onReply(peer, request.build(), reply, sentAt)
        return reply.confirmed
    }

    /**
     * Reports a lost target to a few random peers, each of which forwards the first report to a few
     * more.
     */
    public suspend fun reportLoss(loss: TargetLoss): Unit = coroutineScope {
        val request = CallRequest("POST", LOSS_PATH, loss.toByteArray(), PROTOBUF)
        peers.shuffled(random).take(LOSS_FANOUT).forEach { peer ->
            // A peer that does not answer learns of the loss from another peer or detects it
            // itself.
            launch { calls.call(peer, request, CALL_TIMEOUT) }
        }
    }

    /** Tells [receivers] that this host has [catalogVersion], so that they pull it at once. */
    public suspend fun announce(catalogVersion: Long, receivers: Collection<String>): Unit =
        coroutineScope {
            val notice = CatalogNotice.newBuilder()
                .setAddress(ownAddress)
                .setCatalogVersion(catalogVersion)
                .build()
            val request = CallRequest("POST", CATALOG_PATH, notice.toByteArray(), PROTOBUF)
            // A host that does not get it learns of the version by its next pull.
            receivers.forEach { launch { calls.call(it, request, CALL_TIMEOUT) } }
        }

    /** Handles the notice of a peer; pulls from one peer at a time until none is ahead. */
    public suspend fun onNotice(notice: CatalogNotice) {
        if (!isIpv4Endpoint(notice.address)) return
        announced[notice.address] = notice.catalogVersion
        if (isCatchingUp) return
        isCatchingUp = true
        try {
            while (announced.isNotEmpty()) {
                val (peer, version) = announced.entries.first()
                announced -= peer
                if (version > (viewUpdater.view.catalog?.version ?: 0)) pull(peer)
            }
        } finally {
            isCatchingUp = false
        }
    }

    private fun read(peer: String, result: CallResult): NewsReply? {
        if (result !is CallResult.Response || result.status != OK) {
            lastHeard -= peer
            return null
        }
        return try {
            NewsReply.parseFrom(result.body)
        } catch (e: InvalidProtocolBufferException) {
            log.warn("update from peer {} is malformed: {}", peer, e.message)
            null
        }
    }

    private class LastHeard(val processId: Long, val heardAtMillis: Long)

    public companion object {
        /** Path of update requests at a host's peer address. */
        public const val PATH: String = "/peer/news"

        /** Path of reports of a lost target. */
        public const val LOSS_PATH: String = "/peer/loss"

        /** Path of notices of a new catalog. */
        public const val CATALOG_PATH: String = "/peer/catalog"
        private const val PROTOBUF = "application/x-protobuf"

        /**
         * Number of peers that each host reports to; three reach all of 14 or 130 hosts with little
         * duplication.
         */
        private const val LOSS_FANOUT = 3
        private const val OK = 200
        private const val MAX_SHARED_PEERS = 32

        /**
         * Polling about every half a second keeps an edit within its limit of two seconds even via
         * a peer.
         */
        private val POLL_INTERVAL = 400.milliseconds
        private val CALL_TIMEOUT = 350.milliseconds
        private val log = LogManager.getLogger(PeerNews::class.java)
    }
}
