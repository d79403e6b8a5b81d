/** Serves callers on the request loop. */
package burdockspread.forward.host

import arrow.core.Either
import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.forward.catalog.CallerLimits
import burdockspread.forward.exchange.Call
import burdockspread.forward.exchange.Exchange
import burdockspread.forward.exchange.Gatekeeper
import burdockspread.forward.http.CallerAnswer
import burdockspread.forward.http.CallerConnection
import burdockspread.forward.http.CallerDecoder
import burdockspread.forward.http.CallerHandler
import burdockspread.forward.http.CallerUse
import burdockspread.forward.http.Connections
import burdockspread.forward.http.ExchangeRunner
import burdockspread.forward.http.RunnerContext
import burdockspread.forward.http.Transport
import burdockspread.forward.http.WholeRequest
import burdockspread.time.TimeSource
import io.netty.buffer.Unpooled
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpVersion
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Admits and runs requests. All on the request loop, but for [stopTaking] and [openRequests]. */
internal class RequestServer(
    private val deployment: Deployment,
    private val transport: Transport,
    private val clock: TimeSource,
    private val pools: ServicePools,
    private val view: () -> HostView,
    private val log: ForwardMetrics,
    private val loads: LoadExchange?,
) : CallerHandler {
    private val gatekeeper = Gatekeeper(System.nanoTime())
    private val targets = Connections(transport, transport.requests)
    private val callers = LinkedHashSet<CallerConnection>()
    private val context = RunnerContext(
        loop = transport.requests,
        connections = targets,
        dialect = deployment.dialect,
        now = clock::now,
        probes = ::probe,
        onProgress = ::onProgress,
    )

    @Volatile
    private var stoppingSince: Instant? = null

    @Volatile
    var openRequests: Int = 0
        private set

    /** Begins to serve the connections that are accepted. */
    fun start() {
        transport.requests.scheduleAtFixedRate(
            ::tick,
            TICK_MILLIS,
            TICK_MILLIS,
            TimeUnit.MILLISECONDS,
        )
    }

    fun onConnection(channel: SocketChannel) {
        channel.pipeline().addLast(
            HttpResponseEncoder(),
            CallerDecoder(limits().maxHeaderBytes),
            CallerConnection(this, clock::now, callers),
        )
    }

    /** Ends each connection with its current answer from now on. */
    fun stopTaking() {
        stoppingSince = clock.now()
    }

    /** Ends all requests that still run. To be called on the request loop. */
    fun stopAll() {
        pools.all.flatMap { it.running.values.toList() }.forEach(ExchangeRunner::onStop)
    }

    override fun limits(): CallerLimits = view().catalog?.limits ?: FALLBACK_LIMITS

    override fun stopping(): Boolean = stoppingSince != null

    override fun onRejected(refusal: Refusal): Unit = log.onTurnedAway(null, "", refusal)

    override fun onRequest(request: WholeRequest, answer: CallerAnswer): CallerUse {
        val now = clock.now()
        val seen = view()
        pools.apply(seen, now)
        val head = request.head
        val host = head.headers()["Host"].substringBefore(':').lowercase()
        val path = head.uri().substringBefore('?')
        val fields = deployment.dialect.caller(host, path) { head.headers()[it] }
        val admitted = gatekeeper.admit(fields, seen.catalog, seen.current, request.startedAt)
        val refusal = admitted.fold({ it }, { stopRefusal(it, now) })
        if (refusal != null) {
            log.onTurnedAway(fields.id, path, refusal)
            answer.refuse(refusal)
            return Done
        }
        return run((admitted as Either.Right).value, request, answer)
    }

    private fun run(call: Call, request: WholeRequest, answer: CallerAnswer): CallerUse {
        val pool = pools.pool(call.service)
        val exchange = Exchange(call, pool.policy, pool.budget, log)
        val runner = ExchangeRunner(exchange, request, answer, context)
        pool.running[call.localId] = runner
        openRequests++
        return runner.start()
    }

    /** A stream takes most of the grace; calls are short and are taken a while longer. */
    private fun stopRefusal(call: Call, now: Instant): Refusal? {
        val since = stoppingSince ?: return null
        val takes = if (call.route.kind.stream) TAKES_STREAMS else TAKES_CALLS
        if (now - since < takes) return null
        return Refusal(ErrorCode.DRAINING, "the host stops", RETRY_ELSEWHERE)
    }

    private fun onProgress(runner: ExchangeRunner) {
        if (!runner.exchange.ended) return
        val pool = pools.pool(runner.exchange.call.service)
        if (pool.running.remove(runner.exchange.call.localId) != null) openRequests--
        if (pool.policy.waiting > 0) transport.requests.execute(::poll)
    }

    private var ticks = 0

    private fun tick() {
        val now = clock.now()
        pools.apply(view(), now)
        pools.poll(now)
        loads?.tick()
        if (++ticks % SWEEP_TICKS == 0) callers.toList().forEach { it.sweep(now) }
    }

    private fun poll(): Unit = pools.poll(clock.now())

    private fun probe(address: String, onResult: (Boolean) -> Unit) {
        val path = deployment.dialect.probePath
        val request =
            DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.GET,
                path,
                Unpooled.EMPTY_BUFFER,
            )
        request.headers()["Host"] = address
        ProbeRun(targets, transport.requests, onResult).start(address, request)
    }

    private object Done : CallerUse {
        override fun onCallerGone(): Unit = Unit

        override fun onWritable(writable: Boolean): Unit = Unit
    }

    private companion object {
        const val TICK_MILLIS = 50L
        const val SWEEP_TICKS = 10

        /** The balancer needs two missed questions, a second apart, to send callers elsewhere. */
        val TAKES_CALLS = 3.seconds

        /** Streams of some six seconds fit into a grace of eight when they begin this early. */
        val TAKES_STREAMS = 1.seconds
        val RETRY_ELSEWHERE = 50.milliseconds

        /** Bounds while no configuration is known. */
        val FALLBACK_LIMITS = CallerLimits(16_384, 1_048_576, 3.seconds, 15.seconds)
    }
}
