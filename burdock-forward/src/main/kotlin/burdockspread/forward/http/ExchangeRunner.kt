/** Carries out what an exchange decides. */
package burdockspread.forward.http

import burdockspread.forward.exchange.AnswerHead
import burdockspread.forward.exchange.AttemptFailure
import burdockspread.forward.exchange.Exchange
import burdockspread.forward.exchange.ExchangeEffect
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

/** What runners need of the host. */
internal class RunnerContext(
    val loop: EventLoop,
    val connections: Connections,
    val dialect: Dialect,
    val now: () -> Instant,
    val probes: Probes,
    /** Called after effects were carried out, since room may have become free. */
    val onProgress: (ExchangeRunner) -> Unit,
)

/** Asks targets whether they live. */
internal fun interface Probes {
    fun probe(address: String, onResult: (Boolean) -> Unit)
}

/** One exchange with its caller's and its target's connections. All on one loop. */
internal class ExchangeRunner(
    val exchange: Exchange,
    private val request: WholeRequest,
    private val answer: CallerAnswer,
    private val context: RunnerContext,
) : CallerUse {
    private var sent: Sent? = null
    private var sentAttempt = 0
    private var wakeAt: Instant = Instant.DISTANT_FUTURE

    fun start(): ExchangeRunner {
        carryOut(exchange.start(context.now()))
        return this
    }

    fun onSettled(decision: PlacementDecision): Unit =
        carryOut(exchange.onSettled(decision, context.now()))

    fun onStop(): Unit = carryOut(exchange.onStop(context.now()))

    override fun onCallerGone(): Unit = carryOut(exchange.onCallerGone(context.now()))

    override fun onWritable(writable: Boolean) {
        sent?.reading(writable)
    }

    private fun carryOut(effects: List<ExchangeEffect>) {
        effects.forEach(::carryOut)
        if (!exchange.ended) schedule()
        context.onProgress(this)
    }

    private fun carryOut(effect: ExchangeEffect): Unit = when (effect) {
        is ExchangeEffect.Send -> send(effect)
        is ExchangeEffect.Drop -> take(effect.attempt)?.drop() ?: Unit
        is ExchangeEffect.Release -> take(effect.attempt)?.release(effect.reusable) ?: Unit
        is ExchangeEffect.Probe -> context.probes.probe(effect.target.address) { alive ->
            carryOut(exchange.onProbe(effect.attempt, alive, context.now()))
        }
        is ExchangeEffect.Begin -> answer.begin(effect.head, effect.length)
        is ExchangeEffect.Body -> answer.body(effect.bytes)
        is ExchangeEffect.End -> answer.end()
        is ExchangeEffect.Refuse -> answer.refuse(effect.refusal)
        is ExchangeEffect.BreakOff -> answer.breakOff()
    }

    private fun take(attempt: Int): Sent? =
        if (attempt == sentAttempt) sent.also { sent = null } else null

    private fun send(effect: ExchangeEffect.Send) {
        sentAttempt = effect.attempt
        val sink = Sink(effect.attempt)
        sent = context.connections.send(effect.target.address, encode(effect), sink)
    }

    private fun encode(send: ExchangeEffect.Send): DefaultFullHttpRequest {
        val head = request.head
        val headers = DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders()
        head.headers().endToEnd(context.dialect.reserved).forEach { headers.add(it.name, it.value) }
        context.dialect.attempt(exchange.call, send).forEach { headers.add(it.name, it.value) }
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

    /** Wakes the exchange when it asks for it; a wake-up that is no longer due moves on. */
    private fun schedule() {
        val wanted = exchange.wakeAt
        if (wanted >= wakeAt) return
        wakeAt = wanted
        val wait = (wanted - context.now()).coerceAtLeast(Duration.ZERO)
        context.loop.schedule({ wake(wanted) }, wait.inWholeMicroseconds + 1, TimeUnit.MICROSECONDS)
    }

    private fun wake(planned: Instant) {
        if (planned != wakeAt || exchange.ended) return
        wakeAt = Instant.DISTANT_FUTURE
        val now = context.now()
        if (now >= exchange.wakeAt) carryOut(exchange.onTimer(now, now - planned)) else schedule()
    }

    private inner class Sink(private val attempt: Int) : AnswerSink {
        override fun onResponseHead(response: HttpResponse) {
            val head = decode(response)
            carryOut(exchange.onResponseHead(attempt, head, context.now()))
        }

        override fun onBody(bytes: ByteArray): Unit =
            carryOut(exchange.onBody(attempt, bytes, context.now()))

        override fun onEnd(reusable: Boolean): Unit =
            carryOut(exchange.onEnd(attempt, reusable, context.now()))

        override fun onNotConnected(): Unit = fail(AttemptFailure.NOT_CONNECTED)

        override fun onBroken(malformed: Boolean): Unit =
            fail(if (malformed) AttemptFailure.MALFORMED else AttemptFailure.BROKEN)

        private fun fail(failure: AttemptFailure): Unit =
            carryOut(exchange.onFailure(attempt, failure, context.now()))
    }

    private fun decode(response: HttpResponse): AnswerHead {
        val headers = response.headers()
        val length = HttpUtil.getContentLength(response, -1L).takeIf { it >= 0 }
        val passed = headers.endToEnd()
        return context.dialect.answer(response.status().code(), length, { headers[it] }, passed)
    }
}
