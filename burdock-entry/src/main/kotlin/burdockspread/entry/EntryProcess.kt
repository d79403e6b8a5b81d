/** Wiring and life cycle of an entry host process. */
package burdockspread.entry

import burdockspread.call.CallSender
import burdockspread.call.RealClaimedCallSender
import burdockspread.call.ServiceHandler
import burdockspread.claim.ClaimLedger
import burdockspread.document.DocumentListener
import burdockspread.document.DocumentReplica
import burdockspread.document.DocumentSnapshot
import burdockspread.document.DocumentView
import burdockspread.document.Target
import burdockspread.drain.DrainGate
import burdockspread.drain.DrainPhase
import burdockspread.fleet.FleetReporter
import burdockspread.fleet.FleetWatch
import burdockspread.fleet.FleetWatchDelegate
import burdockspread.fleet.RecentRefusals
import burdockspread.generation.GenerationRegistry
import burdockspread.generation.TokenLatencyTracker
import burdockspread.health.DomainSummary
import burdockspread.http.BodyReader
import burdockspread.http.CallerRoutes
import burdockspread.http.EntryServer
import burdockspread.http.OperatorRoutes
import burdockspread.http.RequestParser
import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import burdockspread.id.TargetId
import burdockspread.intercept.AuthenticationInterceptor
import burdockspread.intercept.Interceptor
import burdockspread.intercept.LimitInterceptor
import burdockspread.intercept.RealChain
import burdockspread.intercept.RetriedCallInterceptor
import burdockspread.load.LoadCache
import burdockspread.load.LoadPoller
import burdockspread.load.LoadPollerDelegate
import burdockspread.load.TargetLoad
import burdockspread.observe.CompositeListener
import burdockspread.observe.LoggingListener
import burdockspread.observe.MetricsListener
import burdockspread.pool.TargetRouter
import burdockspread.request.CallerRequest
import burdockspread.request.CompletionRequest
import burdockspread.request.RequestContext
import burdockspread.request.RequestResult
import burdockspread.request.ServiceRequest
import burdockspread.route.LoadReport
import burdockspread.settings.ExitCode
import burdockspread.settings.MonotonicClock
import burdockspread.settings.toKotlinDuration
import burdockspread.store.http.HttpObjectStore
import burdockspread.stream.GenerationHandler
import burdockspread.stream.GenerationSession
import burdockspread.stream.SessionPlanner
import burdockspread.stream.SessionServices
import burdockspread.target.engine.HttpEngineClient
import burdockspread.target.engine.HttpEngineLoadClient
import burdockspread.target.service.HttpServiceClient
import burdockspread.wire.settings.EntrySettings
import com.google.common.net.HostAndPort
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Entry host process. [start] opens its ports, [drain] shuts it down gracefully. */
internal class EntryProcess(private val settings: EntrySettings) {
    private val host = HostId(settings.host.name)
    private val domain = FailureDomainId(settings.host.failureDomain)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val time = MonotonicClock()
    private val random = Random(time.now().toEpochMilliseconds() xor host.hashCode().toLong())
    private val metrics = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val refusals = RecentRefusals()
    private val listener = CompositeListener(MetricsListener(metrics), LoggingListener(), refusals)
    private val store =
        HttpObjectStore(
            settings.store.address,
            settings.store.namespace,
            settings.store.callTimeout.toKotlinDuration(),
        )
    private val router = TargetRouter(domain, random.nextLong()) { true }
    private val document = DocumentReplica(DocumentChangeHandler())
    private val engines = HttpEngineClient(CONNECT_TIMEOUT)
    private val serviceClient = HttpServiceClient(CONNECT_TIMEOUT)
    private val open =
        GenerationRegistry<GenerationSession>(
            settings.journal.keepFinished.toKotlinDuration(),
            settings.journal.maxCopiesMib.toLong() * BYTES_PER_MIB,
        )
    private val planner = SessionPlanner(host, random)
    private val events: PeerEventListener = PeerEventHandler()
    private val peers: EntryPeers =
        EntryPeers(settings, scope, document, open, planner, time, events)
    private val sessions =
        SessionServices(
            scope,
            time,
            engines,
            router,
            TokenLatencyTracker(),
            listener,
            peers.copySender,
            peers.copyPolicy,
            peers,
        )
    private val generations = GenerationHandler(sessions, open, planner, peers.locator)
    private val sender = CallSender(serviceClient, peers, time)
    private val ledger = ClaimLedger.create("$host-${random.nextLong().toULong()}", store, time)
    private val claimedCalls = RealClaimedCallSender(ledger, router, sender, listener, time)
    private val calls = ServiceHandler(router, sender, claimedCalls, listener, time)
    private val gate = DrainGate(settings.callerLimits.maxOpenRequests)
    private val interceptors =
        persistentListOf<Interceptor>(
            RetriedCallInterceptor(),
            gate,
            AuthenticationInterceptor(),
            LimitInterceptor(peers.limits, time),
            Interceptor(::dispatch),
        )
    private val stopped = CompletableDeferred<ExitCode>()
    private val loads = LoadCache()
    private val loadClient = HttpEngineLoadClient(CONNECT_TIMEOUT)
    private val fleetDelegate = FleetDelegate()
    private val fleet = FleetWatch(domain, fleetDelegate, router, loads, refusals, time)
    private val reporter =
        FleetReporter(host.value, domain.value, fleet, refusals, document, time)
    private val state = EntryState(settings, document, router, open, gate, reporter, ::drain)
    private val server = server()

    /** Opens the ports and starts to watch the document. */
    fun start() {
        server.start()
        peers.start()
        scope.launch { RelaySupervisor(host, store, document, peers).run() }
        scope.launch { ledger.runLoop() }
        scope.launch { advanceQueues() }
        scope.launch { LoadPoller(host, fleetDelegate, loadClient, peers, time).run() }
        scope.launch { fleet.run() }
        log.info("serving callers on {}", settings.callerAddress)
    }

    /** Waits until the graceful shutdown has finished. */
    suspend fun awaitStop(): ExitCode = stopped.await()

    /** Starts a graceful shutdown. Later calls have no effect. */
    fun drain() {
        if (gate.currentPhase != DrainPhase.SERVING) return
        gate.advance(DrainPhase.LEAVING)
        peers.leave()
        scope.launch {
            log.info("draining with {} open requests", gate.openRequests.value)
            delay(settings.drain.notice.toKotlinDuration())
            gate.advance(DrainPhase.CLOSED)
            val done =
                withTimeoutOrNull(settings.drain.deadline.toKotlinDuration()) {
                    gate.openRequests.first { it == 0 }
                } ?: handOverRunning()
            peers.end()
            stop()
            stopped.complete(if (done == null) ExitCode.DRAIN_INCOMPLETE else ExitCode.OK)
        }
    }

    private suspend fun advanceQueues() {
        while (true) {
            router.advance(time.now())
            delay(QUEUE_PERIOD)
        }
    }

    /** Hands over running generations to other hosts, where their callers reconnect to resume. */
    private suspend fun handOverRunning(): Int? {
        generations.runningSessions().forEach { it.handOver() }
        return withTimeoutOrNull(HAND_OVER_TIMEOUT) { gate.openRequests.first { it == 0 } }
    }

    private fun stop() {
        server.stop()
        peers.stop()
        engines.close()
        serviceClient.close()
        loadClient.close()
        store.close()
        scope.cancel()
    }

    private suspend fun serve(request: CallerRequest): RequestResult {
        val context = RequestContext(document.view())
        return RealChain(interceptors, 0, request, context).proceed(context)
    }

    private suspend fun dispatch(chain: Interceptor.Chain): RequestResult =
        when (val request = chain.request) {
            is CompletionRequest -> generations.serve(request, chain.context)
            is ServiceRequest -> calls.serve(request, chain.context)
        }

    private inner class DocumentChangeHandler : DocumentListener {
        override fun onApplied(before: DocumentSnapshot, after: DocumentSnapshot) {
            router.rebuild(after.view)
            peers.onDocument(after.view)
            moveFromLeavingTargets(before.view, after.view)
        }
    }

    private inner class PeerEventHandler : PeerEventListener {
        override fun onTargetsChanged(): Unit = router.rebuild(document.view())

        override fun onDrainRequested(): Unit = drain()

        override fun onLoadReceived(target: TargetId, load: TargetLoad) {
            loads.put(target, load)
            val queued = persistentListOf(load.waiting)
            router.chooser.onReport(LoadReport(target, load.at, load.running, queued))
        }

        override fun onSummaryReceived(summary: DomainSummary): Unit = fleet.onSummary(summary)
    }

    private inner class FleetDelegate :
        LoadPollerDelegate,
        FleetWatchDelegate {
        override fun targets(): List<Target> =
            document().failureDomain(domain)?.targets.orEmpty().filter { it.service == null }

        override fun hosts(): List<HostId> = peers.domainHosts()

        override fun publish(target: TargetId, load: TargetLoad) {
            events.onLoadReceived(target, load)
            peers.publish(target, load)
        }

        override fun document(): DocumentView = this@EntryProcess.document.view()

        override fun acceptsWork(target: Target): Boolean =
            !target.leaving && peers.takesNewWork(target.id)

        override fun publish(summary: DomainSummary): Unit = peers.publish(summary)
    }

    /** Moves the streams that still run at leaving targets once the drain deadline has passed. */
    private fun moveFromLeavingTargets(before: DocumentView, after: DocumentView) {
        val leaving = after.targets.filter { it.leaving && before.target(it.id)?.leaving != true }
        if (leaving.isEmpty()) return
        scope.launch {
            delay(settings.drain.deadline.toKotlinDuration())
            generations.runningSessions().forEach { session ->
                leaving.forEach { session.moveFrom(it.id) }
            }
        }
    }

    private fun server(): EntryServer {
        val limits = settings.callerLimits
        val bodyReader =
            BodyReader(limits.maxBodyKib * BYTES_PER_KIB, limits.requestTimeout.toKotlinDuration())
        val callers =
            CallerRoutes(
                RequestParser(bodyReader),
                gate,
                listener,
                time,
                limits.writeTimeout.toKotlinDuration(),
                ::serve,
            )
        return EntryServer(
            HostAndPort.fromString(settings.callerAddress),
            HostAndPort.fromString(settings.operatorAddress),
            limits.idleTimeout.toKotlinDuration(),
            callers,
            OperatorRoutes(state, gate, metrics),
        )
    }

    private companion object {
        const val BYTES_PER_KIB = 1_024
        const val BYTES_PER_MIB = 1_048_576L
        val CONNECT_TIMEOUT = 1.seconds
        val HAND_OVER_TIMEOUT = 5.seconds
        val QUEUE_PERIOD = 20.milliseconds
        val log = LogManager.getLogger(EntryProcess::class.java)
    }
}
