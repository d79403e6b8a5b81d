package burdockspread.forward.http

import burdockspread.error.Refusal
import burdockspread.forward.catalog.CallerLimits
import burdockspread.forward.exchange.ResponseHead
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseEncoder
import kotlinx.collections.immutable.persistentListOf
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** A caller's connection without a network, on a clock that the test sets. */
internal class CallerFixture : CallerHandler {
    var now: Instant = Instant.fromEpochSeconds(1_700_000_000)
    var limits = CallerLimits(16_384, 100_000, 3.seconds, 15.seconds)
    var drains = false

    /** Called with each complete request. */
    var respond: (BufferedRequest, ResponseWriter) -> Unit = { _, _ -> }
    val received = ArrayList<BufferedRequest>()
    val writers = ArrayList<ResponseWriter>()
    val ends = ArrayList<CallerConnectionEnd>()
    val dropped = ArrayList<String?>()
    val refusals = ArrayList<Refusal>()
    val errors = ArrayList<Throwable>()
    var callersGone = 0

    /** More than the tests of pipelined requests need. */
    override val memory = CallerMemory(capacity = 67_108_864)
    private val decoder = CallerDecoder(limits.maxHeaderBytes)
    val connection = CallerConnection(this, { now }, LinkedHashSet(), decoder)
    val channel = SlowChannel(HttpResponseEncoder(), decoder, connection)

    init {
        channel.freezeTime()
    }

    /** Whether the connection's end has not begun. */
    val isOpen: Boolean get() = channel.isOpen && !channel.isOutputShutdown

    override fun limits(): CallerLimits = limits

    override fun isDraining(): Boolean = drains

    override fun requestId(head: HttpRequest): String? {
        check("Broken" !in head.headers()) { "unexpected" }
        return head.headers()["Id"]
    }

    override fun onConnectionEnded(end: CallerConnectionEnd) {
        ends += end
    }

    override fun onRequestDropped(id: String?, reason: CallerConnectionEnd.Reason) {
        dropped += id
    }

    override fun onWriteFailed(caller: String, cause: Throwable) {
        errors += cause
    }

    override fun onUnexpectedException(id: String?, cause: Throwable) {
        errors += cause
    }

    override fun onRejected(refusal: Refusal) {
        refusals += refusal
    }

    override fun onRequest(
        request: BufferedRequest,
        writer: ResponseWriter,
    ): CallerConnectionListener {
        received += request
        writers += writer
        respond(request, writer)
        return object : CallerConnectionListener {
            override fun onCallerGone() {
                callersGone++
            }

            override fun onWritable(writable: Boolean): Unit = Unit
        }
    }

    fun send(text: String) {
        channel.writeInbound(Unpooled.copiedBuffer(text, Charsets.UTF_8))
    }

    /** Lets [time] pass and sweeps the connection, and lets the event loop read once more. */
    fun sweepAfter(time: Duration) {
        now += time
        connection.closeExpired(now)
        runFor(100.milliseconds)
    }

    /** Runs what is scheduled within [time]. */
    fun runFor(time: Duration) {
        now += time
        channel.advanceTimeBy(time.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        channel.runPendingTasks()
    }

    /** Returns what was written to the caller since the last call. */
    fun written(): String = generateSequence { channel.readOutbound<ByteBuf>() }
        .joinToString("") { part -> part.toString(Charsets.UTF_8).also { part.release() } }
}

/** The head of a target's response. */
internal fun head(status: Int = 200): ResponseHead = ResponseHead(
    status = status,
    requestId = null,
    sealed = true,
    notExecuted = false,
    load = null,
    headers = persistentListOf(),
    length = null,
)
