/** Decoded messages of a caller that wait until the response in progress has ended. */
package burdockspread.forward.http

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest

/** A queue of [HttpObject]s that it owns until they are removed. */
internal class PipelinedMessages {
    private val messages = ArrayDeque<HttpObject>()

    val size: Int get() = messages.size

    /** Memory of all messages. */
    var bytes: Int = 0
        private set

    /** Whether a further request has been read. */
    val hasRequest: Boolean get() = messages.any { it is HttpRequest }

    fun add(message: HttpObject) {
        messages.addLast(message)
        bytes += message.memory()
    }

    fun removeFirstOrNull(): HttpObject? =
        messages.removeFirstOrNull()?.also { bytes -= it.memory() }

    /** Releases and removes all messages. */
    fun discardAll() {
        messages.forEach(::discard)
        messages.clear()
        bytes = 0
    }
}

/** Returns about how much memory the message takes. */
internal fun HttpObject.memory(): Int {
    val head = if (this is HttpMessage) headers().size() * CallerMemory.FIELD_BYTES else 0
    // Until it has been read, a body lies in a buffer that may be larger than its chunk.
    val body = if (this is HttpContent) 2 * content().readableBytes() else 0
    return CallerMemory.MESSAGE_BYTES + head + body
}

/** Releases the content of [message], if any. */
internal fun discard(message: HttpObject) {
    if (message is HttpContent) message.release()
}
