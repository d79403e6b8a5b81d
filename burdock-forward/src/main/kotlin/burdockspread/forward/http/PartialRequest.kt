/** A request of a caller while it is read. */
package burdockspread.forward.http

import burdockspread.forward.catalog.CallerLimits
import io.netty.buffer.ByteBufUtil
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequest
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Collects a request and knows how long that may take. */
internal class PartialRequest {
    private var head: HttpRequest? = null
    private var body = ByteArrayOutputStream()

    /** When the head was read, or first seen to have arrived in part. */
    private var startedAt: Instant? = null

    val hasHead: Boolean get() = head != null

    /** Number of bytes of the body that were read. */
    val bodySize: Int get() = body.size()

    /** Memory of what was read; the buffer of the body grows to twice its size. */
    val memory: Int get() = (head?.memory() ?: 0) + 2 * bodySize

    /** Records at [now] whether a head has arrived in part. */
    fun noteHead(isPartial: Boolean, now: Instant) {
        if (!hasHead) startedAt = if (isPartial) startedAt ?: now else null
    }

    fun begin(request: HttpRequest, now: Instant) {
        head = request
        startedAt = now
        body = ByteArrayOutputStream()
    }

    fun append(content: HttpContent): Unit = body.write(ByteBufUtil.getBytes(content.content()))

    /** Returns the request, which has been read completely. */
    fun complete(): BufferedRequest = BufferedRequest(
        checkNotNull(head) { "no head" },
        body.toByteArray(),
        checkNotNull(startedAt) { "no head" },
    ).also { clear() }

    fun clear() {
        head = null
        startedAt = null
        body = ByteArrayOutputStream()
    }

    fun isLate(now: Instant, limits: CallerLimits): Boolean =
        startedAt?.let { now - it > limit(limits) } ?: false

    /** Longest time that the part that is being read may take. */
    fun limit(limits: CallerLimits): Duration =
        limits.headerTimeout + if (hasHead) BODY_READ_TIMEOUT else Duration.ZERO

    private companion object {
        /** Time to read a body on top of the header timeout; the largest takes about 0.1 s. */
        val BODY_READ_TIMEOUT = 10.seconds
    }
}
