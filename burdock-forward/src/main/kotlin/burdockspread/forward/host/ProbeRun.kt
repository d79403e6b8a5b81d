/** One question to a target whether it lives. */
package burdockspread.forward.host

import burdockspread.forward.http.AnswerSink
import burdockspread.forward.http.Connections
import burdockspread.forward.http.Sent
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpResponse
import java.util.concurrent.TimeUnit

/** Any answer within the limit proves life; a broken or refused connection proves the contrary. */
internal class ProbeRun(
    private val connections: Connections,
    private val loop: EventLoop,
    private val onResult: (Boolean) -> Unit,
) : AnswerSink {
    private var sent: Sent? = null
    private var done = false

    fun start(address: String, request: FullHttpRequest) {
        sent = connections.send(address, request, this)
        loop.schedule({ if (!done) finish(alive = false) }, LIMIT_MILLIS, TimeUnit.MILLISECONDS)
    }

    override fun onResponseHead(response: HttpResponse): Unit = Unit

    override fun onBody(bytes: ByteArray): Unit = Unit

    override fun onEnd(reusable: Boolean) {
        sent?.release(reusable)
        sent = null
        finish(alive = true)
    }

    override fun onNotConnected(): Unit = finish(alive = false)

    override fun onBroken(malformed: Boolean): Unit = finish(alive = malformed)

    private fun finish(alive: Boolean) {
        if (done) return
        done = true
        sent?.drop()
        onResult(alive)
    }

    private companion object {
        /** A target answers from memory, within some milliseconds, unless it is gone. */
        const val LIMIT_MILLIS = 250L
    }
}
