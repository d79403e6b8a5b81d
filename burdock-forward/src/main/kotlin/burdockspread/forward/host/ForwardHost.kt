/** The process that forwards requests: wiring, startup and drain. */
package burdockspread.forward.host

import burdockspread.forward.directory.TargetEntry
import burdockspread.forward.http.CallerListener
import burdockspread.forward.http.Connections
import burdockspread.forward.http.HttpCalls
import burdockspread.forward.http.Transport
import burdockspread.forward.load.LoadPolicy
import burdockspread.forward.load.PromptLocations
import burdockspread.forward.load.TargetLossListener
import burdockspread.forward.news.HostViewUpdater
import burdockspread.forward.news.PeerNews
import burdockspread.forward.relay.UpdateTiming
import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import burdockspread.id.ServiceId
import burdockspread.id.TargetId
import burdockspread.settings.ExitCode
import burdockspread.settings.MonotonicClock
import burdockspread.settings.toKotlinDuration
import burdockspread.store.KindWatcher
import burdockspread.wire.forward.CatalogNotice
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
import kotlinx.coroutines.launch
import java.nio.channels.ServerSocketChannel
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * Runs the forwarder of one host on the platform described by [deployment].
 *
 * @param earlyListener result of [listenEarly] for the same settings.
 */
public class ForwardHost(
    private val settings: ForwardSettings,
    private val deployment: Deployment,
    private val earlyListener: ServerSocketChannel? = null,
) {
    private val clock = MonotonicClock()
    private val log = ForwardLog(clock::now)
    private val transport = Transport()
    private val calls = HttpCalls(Connections(transport, transport.control), transport.control)
    private val timing = settings.updateTiming()
    private val store = deployment.store(settings.storeAddress, calls, timing.watchWait)
    private val metrics = ForwardMetrics(log)
    private val viewUpdater = HostViewUpdater(deployment, clock, timing, metrics)
    private val peers = PeerNews(
        settings.host.name,
        settings.peerAddress,
        settings.seedPeersList,
        viewUpdater,
        calls,
        clock,
        Random(settings.host.name.hashCode()),
        timing,
    )
    private val domain = FailureDomainId(settings.host.failureDomain)
    private val scope =
        CoroutineScope(SupervisorJob() + transport.control.asCoroutineDispatcher())
    private val following = Following(
        HostId(settings.host.name),
        domain,
        viewUpdater,
        peers,
        clock,
        scope,
        timing,
        ::watch,
    )
    private val prompts = PromptLocations()
    private val pools = ServicePools(
        domain,
        settings.host.name.hashCode().toLong(),
        settings.retries,
        { peers.hostCount },
        LoadPolicy.factory(prompts = prompts),
        TargetLossListener(::broadcastLoss),
        { rollouts.gate(it) },
        { orders, now -> rollouts.onOrders(orders, now) },
    )
    private val rolloutLog = RolloutLog(metrics)
    private val rollouts: RolloutHost = RolloutHost(
        if (settings.hasRollouts()) settings.rollouts else null,
        rolloutLog,
    ) { loads?.send(it) }
    private val reporter = RolloutReporter(
        HostId(settings.host.name),
        deployment,
        store,
        clock,
        rollouts,
        rolloutLog,
        viewUpdater::onRollout,
    )
    private val archive = QuarantineStore(store, clock, scope)
    private val quarantine = QuarantineHost(
        HostId(settings.host.name),
        QuarantineLog(metrics),
        archive,
        Random(settings.host.name.hashCode()),
        { news, receivers -> loads?.send(news, receivers) },
        // Not at once, since another request is being handled.
        { transport.requests.execute { server.applyQuarantine() } },
    )
    private val loads: LoadExchange? = settings.loadAddress.ifEmpty { null }?.let { address ->
        LoadExchange(
            HostId(settings.host.name),
            address,
            transport,
            pools,
            prompts,
            clock::now,
            rollouts::onEvidence,
        ) { news, sender -> quarantine.onNews(news, sender, clock.now()) }
    }
    private val server: RequestServer = RequestServer(
        deployment,
        transport,
        clock,
        pools,
        { viewUpdater.view },
        metrics,
        loads,
        quarantine,
        rollouts,
    )
    private val stopped = CompletableDeferred<ExitCode>()

    private var listener: CallerListener? = null

    @Volatile
    private var isDraining = false

    /** Opens the ports and starts to follow the store. */
    public fun start() {
        follow()
        val readyServer = SimpleHttpServer { request, reply -> reply(readiness(request.path)) }
        transport.listen(transport.requests, settings.readyAddress, readyServer::onConnection)
        listenForCallers()
        val peerServer = SimpleHttpServer(::handlePeerRequest)
        transport.listen(transport.control, settings.peerAddress, peerServer::onConnection)
        val operators = SimpleHttpServer { request, reply -> reply(operator(request)) }
        transport.listen(transport.requests, settings.operatorAddress, operators::onConnection)
        loads?.start()
        metrics.gauge("burdock_forward_open_requests") { server.openRequests }
        metrics.gauge("burdock_forward_buffered_bytes") { server.bufferedBytes }
        metrics.gauge("burdock_forward_request_bytes") { server.memory.drawnBytes }
        metrics.gauge("burdock_forward_hosts") { peers.hostCount }
        metrics.gauge("burdock_forward_view_age_seconds") {
            viewUpdater.age(clock.now()).toDouble(DurationUnit.SECONDS)
        }
        transport.requests.execute(server::start)
        log.onProcess("started", "${settings.host.name} in ${settings.host.failureDomain}")
    }

    /**
     * Applies the settings that may change at run time, which are the seed peers. Other changes
     * need a restart, which the log states.
     */
    public fun reload(changed: ForwardSettings) {
        val isUnchanged = changed.toBuilder().clearSeedPeers().build() ==
            settings.toBuilder().clearSeedPeers().build()
        log.onProcess(
            "reloaded",
            if (isUnchanged) "seeds applied" else "seeds applied, the rest needs a restart",
        )
        scope.launch { changed.seedPeersList.forEach(peers::onPeer) }
    }

    /** Starts to drain: the host reports not ready and finishes its open requests. */
    public fun drain() {
        if (isDraining) return
        isDraining = true
        val grace = settings.stopGrace.toKotlinDuration()
        log.onProcess("stopping", "${server.openRequests} requests are open, $grace are left")
        val stop = PlannedStop(clock.now(), grace)
        server.beginDrain(stop)
        StopSequence(stop, Stopping(), transport.requests, clock).start()
        // Ends the process in time also when the request loop does not get to it.
        transport.control.schedule(
            { completeStop("the request loop did not end in time") },
            (grace - PlannedStop.EXIT_TIME).inWholeMilliseconds + WATCHDOG_DELAY_MILLIS,
            TimeUnit.MILLISECONDS,
        )
    }

    /** Waits until the host has drained. */
    public suspend fun awaitStop(): ExitCode = stopped.await()

    private fun listenForCallers() {
        val socket = earlyListener ?: listenAt(settings.callerAddress)
        listener = transport.accept(transport.requests, socket, server::onConnection)
    }

    private fun follow() {
        val self = settings.host
        scope.launchSupervised("following", following::run)
        scope.launchSupervised("peer updates", peers::run)
        val hostList = HostList(
            self.name,
            self.failureDomain,
            settings.peerAddress,
            store,
        ) { listed ->
            following.onListed(listed)
            reporter.onHosts(listed.map { it.id })
            val nearby = listed.filter { it.failureDomain == domain && it.id.value != self.name }
            loads?.let { exchange ->
                exchange.onPeers(nearby.map { it.peerAddress })
                val others = listed.filter { it.id.value != self.name }
                    .map { exchange.endpoint(it.peerAddress) }
                exchange.allHosts = others
                transport.requests.execute { quarantine.onHosts(others, clock.now()) }
            }
        }
        scope.launchSupervised("host list", hostList::run)
        if (rollouts.isEnabled) scope.launchSupervised("rollout reports", reporter::run)
        scope.launchSupervised("archived verdicts") {
            val verdicts = archive.load()
            transport.requests.execute { quarantine.onArchived(verdicts, clock.now()) }
        }
    }

    private suspend fun watch(): Unit = coroutineScope {
        val kinds = listOf(deployment.catalogKey.kind, deployment.targetKind)
        val startsCached = !viewUpdater.view.serving
        kinds.forEach { kind ->
            launchSupervised("watch of $kind") {
                KindWatcher(
                    kind,
                    store,
                    viewUpdater,
                    clock,
                    startsCached = startsCached,
                    known = viewUpdater.knownVersion(kind),
                    required = deployment.catalogKey.takeIf { it.kind == kind },
                ).run()
            }
        }
        if (rollouts.isEnabled) launchSupervised("watch of rollouts") { watchRollouts() }
    }

    private suspend fun watchRollouts() {
        val wait = RolloutReporter.WATCH_WAIT
        val patientStore = deployment.store(settings.storeAddress, calls, wait)
        KindWatcher(deployment.rolloutKind, patientStore, reporter.listener(), clock).run()
    }

    private fun completeStop(problem: String?) {
        if (stopped.isCompleted) return
        if (problem == null) {
            log.onProcess("stopped", "all responses are written, all connections closed")
        } else {
            log.onStopIncomplete(problem)
        }
        stopped.complete(ExitCode.OK)
        scope.cancel()
    }

    /** Confined to the request loop. */
    private inner class Stopping : StoppingHost {
        override fun openWork() =
            OpenWork(server.openRequests, server.connectionsByIdleness().values.sum())

        override fun refuseWaiting(stop: PlannedStop, now: Instant): Unit =
            server.refuseWaiting(stop, now)

        override fun end(now: Instant) = try {
            val accepted = listener?.closeAfterAccepting() ?: 0
            val connections = server.connectionsByIdleness()
            log.onProcess(
                "ending",
                "${server.openRequests} requests are open, ${server.waitingRequests} of them " +
                    "wait; ${connections[true] ?: 0} connections are idle, " +
                    "${connections[false] ?: 0} busy, $accepted of them just accepted",
            )
        } finally {
            server.endAll()
        }

        override fun closeConnections(now: Instant): Unit = server.closeConnections(now)

        override fun onStopped(open: OpenWork, now: Instant) {
            server.onStopped(now)
            val isComplete = open.connections == 0 && open.requests == 0
            completeStop(
                if (isComplete) null else "${open.connections} connections are cut: time is up",
            )
        }
    }

    private fun readiness(path: String): SimpleHttpResponse {
        val isReady =
            path == deployment.protocol.readyPath && viewUpdater.view.serving && !isDraining
        if (isReady) return SimpleHttpResponse(OK)
        val problems = viewUpdater.storeProblems.map { (kind, problem) -> "$kind: $problem\n" }
        return SimpleHttpResponse(UNAVAILABLE, problems.joinToString("").encodeToByteArray())
    }

    private fun operator(request: SimpleHttpRequest): SimpleHttpResponse = when (request.path) {
        "/metrics" -> SimpleHttpResponse(OK, metrics.scrape().encodeToByteArray())
        QUARANTINE_PATH -> {
            val dump = quarantine.dump(clock.now())
            SimpleHttpResponse(OK, dump.toString().encodeToByteArray(), "application/json")
        }
        "/state" -> {
            val now = clock.now()
            val peers = peers.knownAddresses()
            val isFollowingStore = viewUpdater.isFollowingStore(now)
            val dump = stateDump(
                viewUpdater.view,
                pools,
                peers,
                server.openRequests,
                isFollowingStore,
                following.relay,
                now,
            )
            SimpleHttpResponse(OK, dump.toString().encodeToByteArray(), "application/json")
        }
        else -> lift(request)
    }

    private fun lift(request: SimpleHttpRequest): SimpleHttpResponse {
        if (!request.path.startsWith(LIFT_PATH)) return SimpleHttpResponse(NOT_FOUND)
        if (request.method != "POST") return SimpleHttpResponse(METHOD_NOT_ALLOWED)
        val id = request.path.removePrefix(LIFT_PATH)
        if (quarantine.lift(id, clock.now())) return SimpleHttpResponse(OK, "lifted".toByteArray())
        val problem = "no verdict $id is in force"
        return SimpleHttpResponse(NOT_FOUND, problem.toByteArray())
    }

    /** Reports a lost target to peers at once, since the platform lists it for seconds. */
    private fun broadcastLoss(target: TargetEntry) {
        val loss = TargetLoss.newBuilder()
            .setHost(settings.host.name)
            .setService(target.service.value)
            .setTarget(target.id.value)
            .build()
        scope.launch { peers.reportLoss(loss) }
    }

    private fun handlePeerLoss(body: ByteArray): SimpleHttpResponse {
        val loss = TargetLoss.parseFrom(body)
        transport.requests.execute {
            val policy = pools.entries()[ServiceId(loss.service)]?.policy ?: return@execute
            if (policy.onPeerLostTarget(TargetId(loss.target), clock.now())) {
                scope.launch { peers.reportLoss(loss) }
            }
        }
        return SimpleHttpResponse(OK)
    }

    private fun handlePeerRequest(
        request: SimpleHttpRequest,
        reply: (SimpleHttpResponse) -> Unit,
    ) {
        try {
            when (request.path) {
                PeerNews.PATH -> handlePeerUpdate(NewsRequest.parseFrom(request.body), reply)
                PeerNews.LOSS_PATH -> reply(handlePeerLoss(request.body))
                PeerNews.CATALOG_PATH -> {
                    val notice = CatalogNotice.parseFrom(request.body)
                    scope.launch { peers.onNotice(notice) }
                    reply(SimpleHttpResponse(OK))
                }
                else -> reply(SimpleHttpResponse(NOT_FOUND))
            }
        } catch (e: InvalidProtocolBufferException) {
            log.onProcess("peer_message_invalid", "${request.path}: ${e.message}")
            reply(SimpleHttpResponse(BAD_REQUEST))
        }
    }

    private fun handlePeerUpdate(request: NewsRequest, reply: (SimpleHttpResponse) -> Unit) {
        scope.launch {
            val body = peers.answer(request).toByteArray()
            reply(SimpleHttpResponse(OK, body, "application/x-protobuf"))
        }
    }

    private fun ForwardSettings.updateTiming(): UpdateTiming {
        val limits = listOf(targetLeaveLimitMillis, catalogApplyLimitMillis).filter { it > 0.0 }
        val applyLimit = limits.minOrNull()?.milliseconds ?: UpdateTiming.DEFAULT_APPLY_LIMIT
        val reports = targetReportIntervalMillis.takeIf { it > 0.0 }?.milliseconds
        return UpdateTiming(applyLimit, reports ?: UpdateTiming.DEFAULT_REPORT_INTERVAL)
    }

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val METHOD_NOT_ALLOWED = 405
        const val UNAVAILABLE = 503
        const val QUARANTINE_PATH = "/quarantine"

        /** Followed by the id of a verdict. */
        const val LIFT_PATH = "/quarantine/lift/"

        /** Lets a request loop that is merely late end by itself. */
        const val WATCHDOG_DELAY_MILLIS = 50L
    }
}
