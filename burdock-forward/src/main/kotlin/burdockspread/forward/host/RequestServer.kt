/** Serves callers on the request loop. */
package burdockspread.forward.host

import arrow.core.Either
import burdockspread.buffer.BufferBudget
import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.forward.catalog.CallerLimits
import burdockspread.forward.directory.TargetEntry
import burdockspread.forward.exchange.Call
import burdockspread.forward.exchange.CallerFields
import burdockspread.forward.exchange.Exchange
import burdockspread.forward.exchange.RequestRouter
import burdockspread.forward.http.BufferedRequest
import burdockspread.forward.http.CallerConnection
import burdockspread.forward.http.CallerConnectionEnd
import burdockspread.forward.http.CallerConnectionListener
import burdockspread.forward.http.CallerDecoder
import burdockspread.forward.http.CallerHandler
import burdockspread.forward.http.CallerMemory
import burdockspread.forward.http.Connections
import burdockspread.forward.http.ExchangeRunner
import burdockspread.forward.http.ProbeResult
import burdockspread.forward.http.ResponseWriter
import burdockspread.forward.http.RunnerContext
import burdockspread.forward.http.Transport
import burdockspread.forward.load.TargetNotice
import burdockspread.time.TimeSource
import io.netty.buffer.Unpooled
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpVersion
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Resolves and runs requests on the request loop, except [beginDrain] and [openRequests]. */
internal class RequestServer(
    private val deployment: Deployment,
    private val transport: Transport,
    private val clock: TimeSource,
    private val pools: ServicePools,
    private val view: () -> HostView,
    private val metrics: ForwardMetrics,
    private val loads: LoadExchange?,
    private val quarantine: QuarantineHost,
    private val rollouts: RolloutHost,
) : CallerHandler {
    private val router = RequestRouter(System.nanoTime())
    private val targetConnections = Connections(transport, transport.requests)

    /** Responses to probes carry no id, so they must not share connections with requests. */
    private val probeConnections = Connections(transport, transport.requests)
    private val callers = LinkedHashSet<CallerConnection>()
    private val responses = BufferBudget(RESPONSES_BYTES, FREE_RESPONSE_BYTES)
    private val context = RunnerContext(
        loop = transport.requests,
        connections = targetConnections,
        protocol = deployment.protocol,
        now = clock::now,
        prober = ::probe,
        onError = metrics::onInternalError,
        onProgress = ::onProgress,
    )

    @Volatile
    private var stop: PlannedStop? = null

    /** A start takes a small host longer than some callers wait. */
    private var readsLateUntil = clock.now() + LATE_AFTER_START
    private var lastTickAt = clock.now()

    @Volatile
    var openRequests: Int = 0
        private set

    /** Memory of responses that cannot be passed on yet, beyond the free share of each. */
    val bufferedBytes: Int get() = responses.drawnBytes

    /** Starts the periodic tick. */
    fun start() {
        transport.requests.scheduleSupervised("request tick", TICK_INTERVAL, ::tick)
    }

    fun onConnection(channel: SocketChannel) {
        val decoder = CallerDecoder(limits().maxHeaderBytes)
        channel.pipeline().addLast(
            HttpResponseEncoder(),
            decoder,
            CallerConnection(this, clock::now, callers, decoder),
        )
    }

    /** Number of requests that wait for a target. */
    val waitingRequests: Int get() = pools.all.sumOf { it.policy.waiting }

    /** Number of callers' connections by whether nothing of a request is in hand on them. */
    fun connectionsByIdleness(): Map<Boolean, Int> = callers.groupingBy { it.isIdle }.eachCount()

    /**
     * Closes each connection after its current response and accepts requests by the phase of
     * [plannedStop] from now on.
     */
    fun beginDrain(plannedStop: PlannedStop) {
        stop = plannedStop
    }

    /** Refuses requests that still wait although [plannedStop] no longer accepts them. */
    fun refuseWaiting(plannedStop: PlannedStop, now: Instant): Unit = running()
        .filterNot { plannedStop.accepts(it.exchange.call, now) }
        .forEach { it.onStop(waitingOnly = true) }

    /** Ends requests whose prompts are now known to crash targets. */
    fun applyQuarantine(): Unit = running().filter { it.exchange.call.prompt != null }
        .forEach { it.onQuarantine() }

    /** Ends all open requests. */
    fun endAll(): Unit = running().forEach { it.onStop() }

    /** Closes callers' connections as far as all that arrived on them is answered. */
    fun closeConnections(now: Instant): Unit = callers.toList().forEach { it.closeGracefully(now) }

    /** Records that the process exits, which ends the remaining connections. */
    fun onStopped(now: Instant): Unit = callers.forEach { it.onStopped(now) }

    private fun running(): List<ExchangeRunner> = pools.all.flatMap { it.running.values }

    override fun limits(): CallerLimits = view().catalog?.limits ?: FALLBACK_LIMITS

    override fun isDraining(): Boolean = stop != null

    // A host that stops sends little, and refuses the rest without delay.
    override fun isReadingLate(): Boolean = stop == null && clock.now() < readsLateUntil

    override val memory: CallerMemory = CallerMemory(CallerMemory.defaultCapacity())

    override fun onRejected(refusal: Refusal): Unit = metrics.onRequestRejected(null, "", refusal)

    override fun requestId(head: HttpRequest): String? = callerFields(head).id

    override fun onConnectionEnded(end: CallerConnectionEnd): Unit =
        metrics.onCallerConnectionEnded(end)

    override fun onRequestDropped(id: String?, reason: CallerConnectionEnd.Reason): Unit =
        metrics.onCallerRequestDropped(id, reason)

    override fun onWriteFailed(caller: String, cause: Throwable): Unit =
        metrics.onCallerWriteFailed(caller, cause)

    override fun onUnexpectedException(id: String?, cause: Throwable): Unit =
        metrics.onInternalError(id.orEmpty(), cause)

    override fun onRequest(
        request: BufferedRequest,
        writer: ResponseWriter,
    ): CallerConnectionListener = try {
        handle(request, writer)
    } catch (e: Throwable) {
        metrics.onInternalError("", e)
        writer.refuse(Refusal(ErrorCode.INTERNAL, "internal error"))
        IgnoringListener
    }

    private fun handle(
        request: BufferedRequest,
        writer: ResponseWriter,
    ): CallerConnectionListener {
        val now = clock.now()
        val snapshot = view()
        pools.apply(snapshot, now)
        val fields = callerFields(request.head)
        val resolved = router.resolve(
            fields,
            snapshot.catalog,
            snapshot.isConfirmed,
            request.startedAt,
        )
        val refusal = resolved.fold({ it }, { drainRefusal(it, now) })
        if (refusal != null) {
            metrics.onRequestRejected(fields.id, fields.path, refusal)
            writer.refuse(refusal)
            return IgnoringListener
        }
        return run((resolved as Either.Right).value, request, writer)
    }

    private fun callerFields(head: HttpRequest): CallerFields {
        val host = head.headers()["Host"].orEmpty().substringBefore(':').lowercase()
        val path = head.uri().substringBefore('?')
        return deployment.protocol.callerFields(host, path) { head.headers()[it] }
    }

    private fun run(
        call: Call,
        request: BufferedRequest,
        writer: ResponseWriter,
    ): CallerConnectionListener {
        val pool = pools.pool(call.service)
        val exchange = Exchange(
            call,
            pool.policy,
            pool.budget,
            metrics,
            quarantine = quarantine.quarantine,
            buffers = responses,
        )
        val runner = ExchangeRunner(exchange, request, writer, context)
        pool.running[call.localId] = runner
        openRequests++
        return runner.start()
    }

    private fun drainRefusal(call: Call, now: Instant): Refusal? {
        val plannedStop = stop ?: return null
        if (plannedStop.accepts(call, now)) return null
        return Refusal(ErrorCode.DRAINING, "the host is draining", RETRY_AFTER_DRAIN)
    }

    private fun onProgress(runner: ExchangeRunner) {
        if (!runner.exchange.isEnded) return
        val pool = pools.pool(runner.exchange.call.service)
        if (pool.running.remove(runner.exchange.call.localId) != null) openRequests--
        if (pool.policy.waiting > 0) transport.requests.execute { pools.poll(clock.now()) }
    }

    private var ticks = 0

    private fun tick() {
        val now = clock.now()
        if (now - lastTickAt > LATE_TICK) readsLateUntil = maxOf(readsLateUntil, now + LATE_TIME)
        lastTickAt = now
        pools.apply(view(), now)
        pools.poll(now)
        rollouts.tick(now)
        loads?.tick()
        quarantine.tick(now)
        if (++ticks % SWEEP_TICKS == 0) callers.toList().forEach { it.closeExpired(now) }
    }

    private fun probe(target: TargetEntry, onResult: (ProbeResult) -> Unit) {
        val path = deployment.protocol.probePath
        val request =
            DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.GET,
                path,
                Unpooled.EMPTY_BUFFER,
            )
        request.headers()["Host"] = target.address
        val onResponse = { response: HttpResponse -> onProbeResponse(target, response) }
        LivenessProbe(probeConnections, transport.requests, onResponse, onResult)
            .start(target.address, request)
    }

    private fun onProbeResponse(target: TargetEntry, response: HttpResponse) {
        val headers = response.headers()
        val notice = deployment.protocol.notice(response.status().code()) { headers[it] }
        if (notice == TargetNotice.NONE) return
        pools.pool(target.service).policy.onNotice(target, notice, clock.now())
    }

    private fun PlannedStop.accepts(call: Call, now: Instant) =
        accepts(call.route.kind.isStream, call.deadline, now)

    private object IgnoringListener : CallerConnectionListener {
        override fun onCallerGone(): Unit = Unit

        override fun onWritable(writable: Boolean): Unit = Unit
    }

    private companion object {
        val TICK_INTERVAL = 50.milliseconds
        const val SWEEP_TICKS = 10

        /** Delay of a tick that shows that the loop does not keep up, and what follows from it. */
        val LATE_TICK = 250.milliseconds
        val LATE_TIME = 1.seconds
        val LATE_AFTER_START = 5.seconds

        /** Memory of responses that cannot be passed on yet; buffers have up to twice the size. */
        const val RESPONSES_BYTES = 12_582_912

        /** Many times the usual size of an event and of a response to a plain call. */
        const val FREE_RESPONSE_BYTES = 8_192

        val RETRY_AFTER_DRAIN = 50.milliseconds

        /** Limits that apply while no configuration is known. */
        val FALLBACK_LIMITS = CallerLimits(16_384, 1_048_576, 3.seconds, 15.seconds)
    }
}
