/** The process that forwards requests: wiring, start and planned stop. */
package burdockspread.forward.host

import burdockspread.forward.directory.TargetEntry
import burdockspread.forward.http.Calls
import burdockspread.forward.http.Connections
import burdockspread.forward.http.Transport
import burdockspread.forward.load.LoadPolicy
import burdockspread.forward.load.TargetLossListener
import burdockspread.forward.news.HostNews
import burdockspread.forward.news.PeerNews
import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import burdockspread.id.ServiceId
import burdockspread.id.TargetId
import burdockspread.settings.ExitCode
import burdockspread.settings.MonotonicClock
import burdockspread.settings.toKotlinDuration
import burdockspread.store.KindWatcher
import burdockspread.wire.forward.NewsRequest
import burdockspread.wire.forward.TargetLoss
import burdockspread.wire.settings.ForwardSettings
import com.google.protobuf.InvalidProtocolBufferException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Runs the forwarder of one host on the platform described by [deployment]. */
public class ForwardHost(
    private val settings: ForwardSettings,
    private val deployment: Deployment,
) {
    private val clock = MonotonicClock()
    private val log = ForwardLog(clock::now)
    private val transport = Transport()
    private val calls = Calls(Connections(transport, transport.control), transport.control)
    private val store = deployment.store(settings.storeAddress, calls)
    private val metrics = ForwardMetrics(log)
    private val news = HostNews(deployment, clock, metrics)
    private val peers = PeerNews(
        settings.host.name,
        settings.peerAddress,
        settings.seedPeersList,
        news,
        calls,
        clock,
        Random(settings.host.name.hashCode()),
    )
    private val pools = ServicePools(
        FailureDomainId(settings.host.failureDomain),
        settings.host.name.hashCode().toLong(),
        settings.retries,
        { peers.hosts },
        LoadPolicy.factory(),
        TargetLossListener(::tellLoss),
    )
    private val loads = settings.loadAddress.ifEmpty { null }?.let {
        LoadExchange(HostId(settings.host.name), it, transport, pools, clock::now)
    }
    private val server =
        RequestServer(deployment, transport, clock, pools, { news.view }, metrics, loads)
    private val scope =
        CoroutineScope(SupervisorJob() + transport.control.asCoroutineDispatcher())
    private val stopped = CompletableDeferred<ExitCode>()

    @Volatile
    private var stopping = false

    /** Opens the ports and begins to follow the store. */
    public fun start() {
        follow()
        val ready = SmallServer { path, _, reply -> reply(ready(path)) }
        transport.listen(transport.requests, settings.readyAddress, ready::onConnection)
        transport.listen(transport.requests, settings.callerAddress, server::onConnection)
        val news = SmallServer(::peer)
        transport.listen(transport.control, settings.peerAddress, news::onConnection)
        val operators = SmallServer { path, _, reply -> reply(operator(path)) }
        transport.listen(transport.requests, settings.operatorAddress, operators::onConnection)
        loads?.start()
        metrics.gauge("burdock_forward_open_requests") { server.openRequests }
        metrics.gauge("burdock_forward_hosts") { peers.hosts }
        transport.requests.execute(server::start)
        log.onProcess("started", "${settings.host.name} in ${settings.host.failureDomain}")
    }

    /**
     * Takes settings that may change while the host runs: the seeds. Addresses and names need a
     * start, which the log says.
     */
    public fun reload(changed: ForwardSettings) {
        val same = changed.toBuilder().clearSeedPeers().build() ==
            settings.toBuilder().clearSeedPeers().build()
        log.onProcess("reloaded", if (same) "seeds taken" else "seeds taken, the rest at a start")
        scope.launch { changed.seedPeersList.forEach(peers::onPeer) }
    }

    /** Begins a planned stop: no longer ready, running requests are finished. */
    public fun drain() {
        if (stopping) return
        stopping = true
        server.stopTaking()
        log.onProcess("stopping", "${server.openRequests} requests are open")
        scope.launch { finish() }
    }

    /** Waits for the end of a planned stop. */
    public suspend fun awaitStop(): ExitCode = stopped.await()

    private fun follow() {
        val self = settings.host
        val domain = FailureDomainId(self.failureDomain)
        val following = Following(HostId(self.name), domain, news, peers, clock, scope, ::watch)
        scope.launch { following.run() }
        scope.launch { peers.run() }
        val list = HostList(
            self.name,
            self.failureDomain,
            settings.peerAddress,
            store,
        ) { listed ->
            following.onListed(listed)
            val near = listed.filter { it.failureDomain == domain && it.id.value != self.name }
            loads?.onPeers(near.map { it.peerAddress })
        }
        scope.launch { list.run() }
    }

    private suspend fun watch(): Unit = coroutineScope {
        val kinds = listOf(deployment.catalogKey.kind, deployment.targetKind)
        kinds.forEach { kind -> launch { KindWatcher(kind, store, news, clock).run() } }
    }

    private suspend fun finish() {
        val start = clock.now()
        val limit = settings.stopGrace.toKotlinDuration() - STOP_MARGIN
        while (clock.now() - start < limit) {
            val quiet = server.openRequests == 0
            if (quiet && clock.now() - start >= BALANCER_TIME) break
            delay(POLL)
        }
        log.onProcess("stopped", "${server.openRequests} requests are broken off")
        transport.requests.execute {
            server.stopAll()
            stopped.complete(ExitCode.OK)
        }
        scope.cancel()
    }

    private fun ready(path: String): SmallAnswer {
        val ready = path == deployment.dialect.readyPath && news.view.serving && !stopping
        return SmallAnswer(if (ready) OK else UNAVAILABLE)
    }

    private fun operator(path: String): SmallAnswer = when (path) {
        "/metrics" -> SmallAnswer(OK, metrics.scrape().encodeToByteArray())
        "/state" -> {
            val now = clock.now()
            val peers = peers.known()
            val watches = news.watches(now)
            val dump = stateDump(news.view, pools, peers, server.openRequests, watches, now)
            SmallAnswer(OK, dump.toString().encodeToByteArray(), "application/json")
        }
        else -> SmallAnswer(NOT_FOUND)
    }

    /** Peers hear of a lost target at once: the platform's list keeps it for seconds. */
    private fun tellLoss(target: TargetEntry) {
        val loss = TargetLoss.newBuilder()
            .setHost(settings.host.name)
            .setService(target.service.value)
            .setTarget(target.id.value)
            .build()
        scope.launch { peers.tell(loss) }
    }

    private fun peerLoss(body: ByteArray): SmallAnswer {
        val loss = TargetLoss.parseFrom(body)
        transport.requests.execute {
            val policy = pools.pool(ServiceId(loss.service)).policy
            if (policy.onPeerLostTarget(TargetId(loss.target), clock.now())) scope.launch {
                peers.tell(loss)
            }
        }
        return SmallAnswer(OK)
    }

    private fun peer(path: String, body: ByteArray, reply: (SmallAnswer) -> Unit) {
        try {
            when (path) {
                PeerNews.PATH -> peerNews(NewsRequest.parseFrom(body), reply)
                PeerNews.LOSS_PATH -> reply(peerLoss(body))
                else -> reply(SmallAnswer(NOT_FOUND))
            }
        } catch (e: InvalidProtocolBufferException) {
            log.onProcess("peer_unreadable", "$path: ${e.message}")
            reply(SmallAnswer(BAD_REQUEST))
        }
    }

    private fun peerNews(request: NewsRequest, reply: (SmallAnswer) -> Unit) {
        peers.onPeer(request.address)
        scope.launch {
            if (request.waitMillis > 0) news.awaitNews(request)
            val known = if (request.waitMillis > 0) emptyList() else peers.known()
            val body = news.reply(request, known).toByteArray()
            reply(SmallAnswer(OK, body, "application/x-protobuf"))
        }
    }

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503

        /** The balancer asks each second, and takes a host out after two misses. */
        val BALANCER_TIME: Duration = 3_500.milliseconds

        /** Left of the grace for ending what runs and for the end of the process. */
        val STOP_MARGIN: Duration = 700.milliseconds
        val POLL: Duration = 50.milliseconds
    }
}
