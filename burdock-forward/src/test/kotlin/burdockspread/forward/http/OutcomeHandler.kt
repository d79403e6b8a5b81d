package burdockspread.forward.http

import io.netty.handler.codec.http.HttpResponse
import java.util.concurrent.CompletableFuture

/** Completes [outcome] with how a response ended. */
internal class OutcomeHandler(private val outcome: CompletableFuture<String>) : ResponseHandler {
    override fun onResponseHead(response: HttpResponse) = Unit

    override fun onBody(bytes: ByteArray) = Unit

    override fun onEnd(reusable: Boolean) {
        outcome.complete("end")
    }

    override fun onNotConnected() {
        outcome.complete("not connected")
    }

    override fun onBroken(malformed: Boolean) {
        outcome.complete(if (malformed) "malformed" else "broken")
    }
}
