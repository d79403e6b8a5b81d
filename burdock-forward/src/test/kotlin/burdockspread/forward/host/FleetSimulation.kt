/** Hosts with their real update logic over a simulated store and network, in virtual time. */
package burdockspread.forward.host

import burdockspread.forward.http.CallRequest
import burdockspread.forward.http.CallResult
import burdockspread.forward.http.Calls
import burdockspread.forward.news.HostViewUpdater
import burdockspread.forward.news.PeerNews
import burdockspread.forward.news.TextDeployment
import burdockspread.forward.relay.UpdateTiming
import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import burdockspread.net.TransferDeadline
import burdockspread.store.KindWatcher
import burdockspread.time.TimeSource
import burdockspread.wire.forward.CatalogNotice
import burdockspread.wire.forward.NewsRequest
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** What happens to the messages on a link. */
internal enum class LinkState(val latency: Duration) {
    UP(2.milliseconds),

    /** Messages arrive late, but within the timeouts of the callers. */
    SLOW(120.milliseconds),

    /** Messages vanish without an error. */
    LOST(Duration.ZERO),

    /** The other end rejects what is sent. */
    REFUSED(2.milliseconds),
}

/** A link; null stands for a call that the other end rejected. */
internal class SimulatedLink {
    var state: LinkState = LinkState.UP

    /** Passes a call to [serve] and its result back. */
    suspend fun <T : Any> call(serve: suspend () -> T?): T? {
        if (!pass()) return null
        val served = serve()
        return if (pass()) served else null
    }

    private suspend fun pass(): Boolean {
        if (state == LinkState.LOST) awaitCancellation()
        delay(state.latency)
        return state != LinkState.REFUSED
    }
}

/** A rate that all transfers through one machine share, piece by piece. */
internal class SimulatedRate(private val now: () -> Long) {
    /** Bytes that pass in a millisecond. */
    var bytesPerMilli = Double.POSITIVE_INFINITY
    private var freeAt = 0.0

    /** Bytes that have passed. */
    var passed = 0L
        private set

    /** Passes [bytes], or returns false if a piece of them takes longer than callers wait. */
    suspend fun pass(bytes: Int): Boolean {
        var left = bytes
        while (left > 0) {
            val piece = minOf(left, TransferDeadline.PROGRESS_BYTES)
            freeAt = maxOf(freeAt, now().toDouble()) + piece / bytesPerMilli
            val wait = freeAt - now()
            delay(minOf(wait, STALL_MILLIS).toLong())
            if (wait > STALL_MILLIS) return false
            passed += piece
            left -= piece
        }
        return true
    }

    private companion object {
        /** As in `HttpCalls`. */
        const val STALL_MILLIS = 600.0
    }
}

/** Failure domains with [hostsPerDomain] hosts each, which list each other from the start. */
internal class FleetSimulation(
    private val scope: TestScope,
    domains: Int,
    hostsPerDomain: Int,
    private val timing: UpdateTiming = UpdateTiming(),
) {
    val store = SimulatedStore(::now)
    val hosts: List<SimulatedHost> = List(domains) { domain ->
        List(hostsPerDomain) {
            SimulatedHost("host-$domain-$it", "domain-$domain", "10.0.$domain.$it:1")
        }
    }.flatten()
    private val byAddress = hosts.associateBy { it.address }

    /** Hosts that watch the store at present. */
    val relays: List<SimulatedHost> get() = hosts.filter { it.updater.isFollowingStore(now()) }

    fun now(): Instant = Instant.fromEpochMilliseconds(START_MILLIS + scope.currentTime)

    fun start() {
        val listed = hosts.map {
            ListedHost(HostId(it.name), FailureDomainId(it.domain), it.address)
        }
        hosts.forEach { it.start(listed) }
    }

    /** A host with its links to the store and to its peers. */
    inner class SimulatedHost(val name: String, val domain: String, val address: String) {
        val storeLink = SimulatedLink()
        val peerLink = SimulatedLink()

        /** What the machine sends and receives, from the store and from peers. */
        val rate = SimulatedRate { scope.currentTime }
        private var listed = emptyList<ListedHost>()
        private var process = Process()

        /** Whether the process runs; callers of one that does not are refused. */
        val isUp: Boolean get() = process.job.isActive
        val updater: HostViewUpdater get() = process.updater

        /** Whether the host watches the store itself instead of following a relay. */
        val isWatching: Boolean get() = process.following.relay == null

        /** Targets that may receive requests now. */
        val usableTargets: Set<String>
            get() = updater.view.directory.services.values.flatten()
                .filter { listed -> listed.unconfirmedUntil.let { it == null || now() < it } }
                .map { it.entry.id.value }
                .toSet()

        fun start(listed: List<ListedHost>) {
            this.listed = listed
            process.start()
        }

        /** Kills the process; the responses that it sends at the time break off. */
        fun kill(): Unit = process.job.cancel()

        /** Kills the process and starts another one. */
        fun restart() {
            kill()
            process = Process()
            process.start()
        }

        suspend fun answer(request: NewsRequest) = process.peers.answer(request)

        fun onNotice(notice: CatalogNotice) = process.onNotice(notice)

        private inner class Process {
            val job = SupervisorJob(scope.backgroundScope.coroutineContext.job)
            private val processScope = scope.backgroundScope + job
            private val clock = TimeSource { now() }
            val updater = HostViewUpdater(TextDeployment, clock, timing)
            val peers = PeerNews(
                name,
                address,
                emptyList(),
                updater,
                peerCalls(),
                clock,
                Random(name.hashCode()),
                timing,
            )
            private val objects = SimulatedObjectStore(store, storeLink, rate, timing.watchWait)
            val following = Following(
                HostId(name),
                FailureDomainId(domain),
                updater,
                peers,
                clock,
                processScope,
                timing,
                watch = ::watch,
            )

            fun start() {
                following.onListed(listed)
                processScope.launch { following.run() }
                processScope.launch { peers.run() }
            }

            fun onNotice(notice: CatalogNotice) {
                processScope.launch { peers.onNotice(notice) }
            }

            private suspend fun watch(): Unit = coroutineScope {
                val startsCached = !updater.view.serving
                listOf(TextDeployment.catalogKey.kind, TextDeployment.targetKind).forEach { kind ->
                    launch {
                        KindWatcher(
                            kind,
                            objects,
                            updater,
                            clock,
                            startsCached = startsCached,
                            known = updater.knownVersion(kind),
                        ).run()
                    }
                }
            }
        }

        private fun peerCalls() = Calls { address, request, timeout ->
            val result = withTimeoutOrNull(timeout) { peerLink.call { callPeer(address, request) } }
            if (result is CallResult.Response) {
                val size = result.body.size
                val peer = byAddress.getValue(address)
                val isReceived = peer.rate.pass(size) && rate.pass(size)
                if (isReceived && peer.isUp) result else CallResult.NoResponse
            } else {
                result ?: CallResult.NoResponse
            }
        }
    }

    private suspend fun callPeer(address: String, request: CallRequest): CallResult {
        val peer = byAddress.getValue(address)
        if (!peer.isUp) return CallResult.NotSent
        val reply = peer.peerLink.call {
            if (request.path == PeerNews.CATALOG_PATH) {
                peer.onNotice(CatalogNotice.parseFrom(request.body))
                ByteArray(0)
            } else {
                peer.answer(NewsRequest.parseFrom(request.body)).toByteArray()
            }
        }
        return reply?.let { CallResult.Response(OK, it) } ?: CallResult.NotSent
    }

    private companion object {
        const val OK = 200

        /** Far enough from the epoch for instants before the start. */
        const val START_MILLIS = 1_000_000L
    }
}
