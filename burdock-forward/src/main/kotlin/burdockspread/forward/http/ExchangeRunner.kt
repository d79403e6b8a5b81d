/** Execution of an exchange's effects. */
package burdockspread.forward.http

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.forward.directory.TargetEntry
import burdockspread.forward.exchange.AttemptFailure
import burdockspread.forward.exchange.Exchange
import burdockspread.forward.exchange.ExchangeEffect
import burdockspread.forward.exchange.ResponseHead
import burdockspread.forward.load.PlacementDecision
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Instant

/** Dependencies that all runners share. */
internal class RunnerContext(
    val loop: EventLoop,
    val connections: Connections,
    val protocol: ProtocolAdapter,
    val now: () -> Instant,
    val prober: TargetProber,
    /** Called with the request's id after an unexpected exception or error, which ended it. */
    val onError: (String, Throwable) -> Unit,
    /** Called after effects were executed, since capacity may have become free. */
    val onProgress: (ExchangeRunner) -> Unit,
)

/** Checks whether targets are alive. */
internal fun interface TargetProber {
    fun probe(target: TargetEntry, onResult: (ProbeResult) -> Unit)
}

/** What a target made of a probe. */
internal enum class ProbeResult {
    /** The target runs. */
    ALIVE,

    /** Its machine answered that nothing listens at the address: the process has stopped. */
    REFUSED,

    /** No answer arrived in time; the target, its machine or the network may be the cause. */
    SILENT,
}

/** Connects one exchange with its caller and its target. Confined to one event loop. */
internal class ExchangeRunner(
    val exchange: Exchange,
    private val request: BufferedRequest,
    private val writer: ResponseWriter,
    private val context: RunnerContext,
) : CallerConnectionListener {
    private var outgoing: OutgoingRequest? = null
    private var sentAttemptNumber = 0
    private var wakeAt: Instant = Instant.DISTANT_FUTURE
    private var hasBegun = false

    /** Whether the caller reads as fast as the response arrives. */
    private var isReading = true

    fun start(): ExchangeRunner {
        step { start(it) }
        return this
    }

    fun onPlacement(decision: PlacementDecision): Unit = step { onPlacement(decision, it) }

    /** Ends the request; with [waitingOnly] only if it waits and no target can have run it. */
    fun onStop(waitingOnly: Boolean = false): Unit = step { onStop(it, waitingOnly) }

    /** Ends the request if its prompt is now known to crash targets. */
    fun onQuarantine(): Unit = step { onQuarantine(it) }

    override fun onCallerGone(): Unit = step { onCallerGone(it) }

    override fun onWritable(writable: Boolean) {
        isReading = writable
        outgoing?.setReading(writable)
        step { onReading(writable, it) }
    }

    /** Passes an event to the exchange; an unexpected exception or error ends this request only. */
    private inline fun step(event: Exchange.(Instant) -> List<ExchangeEffect>) {
        try {
            exchange.event(context.now()).forEach(::execute)
            if (!exchange.isEnded) schedule()
        } catch (e: Throwable) {
            fail(e)
        }
        context.onProgress(this)
    }

    private fun fail(cause: Throwable) {
        context.onError(exchange.call.id, cause)
        outgoing?.cancel()
        outgoing = null
        val isAnswered = exchange.isEnded && !hasBegun
        exchange.onCallerGone(context.now())
        when {
            hasBegun -> writer.abort()
            !isAnswered -> writer.refuse(Refusal(ErrorCode.INTERNAL, "internal error"))
        }
    }

    private fun execute(effect: ExchangeEffect): Unit = when (effect) {
        is ExchangeEffect.Send -> send(effect)
        is ExchangeEffect.Cancel -> takeOutgoing(effect.attemptNumber)?.cancel() ?: Unit
        is ExchangeEffect.Release -> takeOutgoing(effect.attemptNumber)?.release(effect.reusable)
            ?: Unit
        is ExchangeEffect.Probe -> context.prober.probe(effect.target) { result ->
            step { onProbe(effect.attemptNumber, result == ProbeResult.ALIVE, it) }
        }
        is ExchangeEffect.ConfirmCrash -> context.prober.probe(effect.target) { result ->
            val hasStopped = result == ProbeResult.REFUSED
            exchange.onCrashConfirmation(effect.attemptNumber, hasStopped, context.now())
        }
        is ExchangeEffect.Begin -> {
            hasBegun = true
            writer.begin(effect.head, effect.length)
        }
        is ExchangeEffect.Body -> writer.body(effect.bytes)
        is ExchangeEffect.End -> writer.end()
        is ExchangeEffect.Refuse -> writer.refuse(effect.refusal)
        is ExchangeEffect.AbortResponse -> writer.abort()
    }

    private fun takeOutgoing(attemptNumber: Int): OutgoingRequest? =
        if (attemptNumber == sentAttemptNumber) outgoing.also { outgoing = null } else null

    private fun send(effect: ExchangeEffect.Send) {
        sentAttemptNumber = effect.attemptNumber
        val handler = AttemptResponseHandler(effect.attemptNumber)
        val address = effect.target.address
        outgoing = context.connections.send(address, encode(effect), handler, effect.connection)
        if (!isReading) outgoing?.setReading(false)
    }

    private fun encode(send: ExchangeEffect.Send): DefaultFullHttpRequest {
        val head = request.head
        val headers = DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders()
        head.headers().endToEnd(context.protocol.reservedHeaders).forEach {
            headers.add(it.name, it.value)
        }
        context.protocol.attemptHeaders(exchange.call, send).forEach {
            headers.add(it.name, it.value)
        }
        val framed = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head)
        if (framed) headers["Content-Length"] = request.body.size
        return DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            head.method(),
            head.uri(),
            Unpooled.wrappedBuffer(request.body),
            headers,
            EmptyHttpHeaders.INSTANCE,
        )
    }

    /** Schedules the exchange's next wake-up; a wake-up that has become obsolete is rescheduled. */
    private fun schedule() {
        val dueAt = exchange.wakeAt
        if (dueAt >= wakeAt) return
        wakeAt = dueAt
        val wait = (dueAt - context.now()).coerceAtLeast(Duration.ZERO)
        context.loop.schedule({ wake(dueAt) }, wait.inWholeMicroseconds + 1, TimeUnit.MICROSECONDS)
    }

    private fun wake(planned: Instant) {
        if (planned != wakeAt || exchange.isEnded) return
        wakeAt = Instant.DISTANT_FUTURE
        val now = context.now()
        if (now >= exchange.wakeAt) step { onTimer(it, it - planned) } else schedule()
    }

    private inner class AttemptResponseHandler(private val attemptNumber: Int) : ResponseHandler {
        override fun onResponseHead(response: HttpResponse) {
            step { onResponseHead(attemptNumber, decode(response), it) }
        }

        override fun onBody(bytes: ByteArray): Unit = step { onBody(attemptNumber, bytes, it) }

        override fun onEnd(reusable: Boolean): Unit = step { onEnd(attemptNumber, reusable, it) }

        override fun onNotConnected(): Unit = fail(AttemptFailure.NOT_CONNECTED)

        override fun onBroken(malformed: Boolean): Unit =
            fail(if (malformed) AttemptFailure.MALFORMED else AttemptFailure.BROKEN)

        private fun fail(failure: AttemptFailure): Unit =
            step { onFailure(attemptNumber, failure, it) }
    }

    private fun decode(response: HttpResponse): ResponseHead {
        val headers = response.headers()
        val length = HttpUtil.getContentLength(response, -1L).takeIf { it >= 0 }
        val kept = headers.endToEnd()
        val head = context.protocol.responseHead(
            response.status().code(),
            length,
            { headers[it] },
            kept,
        )
        val isChunked = HttpUtil.isTransferEncodingChunked(response)
        return head.copy(endsWithConnection = length == null && !isChunked)
    }
}
