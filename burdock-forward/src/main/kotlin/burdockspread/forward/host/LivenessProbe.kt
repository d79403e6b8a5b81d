/** Liveness probe of a target. */
package burdockspread.forward.host

import burdockspread.forward.http.Connections
import burdockspread.forward.http.OutgoingRequest
import burdockspread.forward.http.ProbeResult
import burdockspread.forward.http.ResponseHandler
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpResponse
import java.util.concurrent.TimeUnit

/**
 * A single probe. Any complete response within the timeout means alive; a refused connection or
 * none means not alive. So does a body beyond [MAX_BODY_BYTES], whose connection is closed: to read
 * and drop it until the timeout would delay requests and fill the buffers of the sockets. A
 * connection that breaks says nothing, since targets reset connections beyond their limit, and so
 * counts as alive: the request's own connection shows whether the target has died.
 */
internal class LivenessProbe(
    private val connections: Connections,
    private val loop: EventLoop,
    private val onResponse: (HttpResponse) -> Unit = {},
    private val onResult: (ProbeResult) -> Unit,
) : ResponseHandler {
    private var outgoing: OutgoingRequest? = null
    private var done = false
    private var startedAt = 0L
    private var bodyBytes = 0

    fun start(address: String, request: FullHttpRequest) {
        startedAt = System.nanoTime()
        outgoing = connections.send(address, request, this)
        loop.schedule({ finish(ProbeResult.SILENT) }, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
    }

    override fun onResponseHead(response: HttpResponse): Unit = onResponse(response)

    override fun onBody(bytes: ByteArray) {
        bodyBytes += bytes.size
        if (bodyBytes > MAX_BODY_BYTES) finish(ProbeResult.SILENT)
    }

    override fun onEnd(reusable: Boolean) {
        outgoing?.release(reusable)
        outgoing = null
        finish(ProbeResult.ALIVE)
    }

    override fun onNotConnected() {
        // A connection that nobody answers is given up at about the same time as the probe.
        val millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt)
        finish(if (millis < REFUSAL_MILLIS) ProbeResult.REFUSED else ProbeResult.SILENT)
    }

    override fun onBroken(malformed: Boolean): Unit = finish(ProbeResult.ALIVE)

    private fun finish(result: ProbeResult) {
        if (done) return
        done = true
        outgoing?.cancel()
        onResult(result)
    }

    private companion object {
        /** A live target answers from memory within milliseconds. */
        const val TIMEOUT_MILLIS = 250L

        /** A machine whose process has stopped refuses connections within milliseconds. */
        const val REFUSAL_MILLIS = 200L

        /** Reports on a target's load have a few hundred bytes. */
        const val MAX_BODY_BYTES = 65_536
    }
}
