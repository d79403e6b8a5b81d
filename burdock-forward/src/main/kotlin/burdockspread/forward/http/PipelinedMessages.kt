/** Decoded messages of a caller that wait until the response in progress has ended. */
package burdockspread.forward.http

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest

/** A queue of [HttpObject]s that it owns until they are removed. */
internal class PipelinedMessages {
    private val messages = ArrayDeque<HttpObject>()

    val size: Int get() = messages.size

    /** Whether a further request has been read. */
    val hasRequest: Boolean get() = messages.any { it is HttpRequest }

    fun add(message: HttpObject) {
        messages.addLast(message)
    }

    fun removeFirstOrNull(): HttpObject? = messages.removeFirstOrNull()

    /** Releases and removes all messages. */
    fun discardAll() {
        messages.forEach(::discard)
        messages.clear()
    }
}

/** Releases the content of [message], if any. */
internal fun discard(message: HttpObject) {
    if (message is HttpContent) message.release()
}
