/** HTTP/1.1 codecs that reject messages whose end is ambiguous. */
package burdockspread.forward.http

import burdockspread.buffer.BufferBudget
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException

private const val INITIAL_LINE_BYTES = 8_192
private const val CHUNK_BYTES = 65_536

private fun config(headerBytes: Int) = HttpDecoderConfig()
    .setMaxInitialLineLength(INITIAL_LINE_BYTES)
    .setMaxHeaderSize(headerBytes)
    .setMaxChunkSize(CHUNK_BYTES)
    .setAllowDuplicateContentLengths(false)

/** Decodes callers' requests; one with both Content-Length and Transfer-Encoding is malformed. */
internal class CallerDecoder private constructor(
    headerBytes: Int,
    private val fields: FieldCounter,
) : HttpRequestDecoder(
    config(headerBytes).setHeadersFactory(fields).setTrailersFactory(fields),
) {
    private var hasBegun = false
    private var decodedBytes = 0L
    private var isDiscarding = false

    /** Called when the head of a request has grown although its end has not arrived. */
    var onPartialHead: () -> Unit = {}

    constructor(headerBytes: Int) : this(headerBytes, FieldCounter())

    /** Memory of the fields of a head or trailer that has arrived in part. */
    val partialHeadMemory: Int get() = fields.count * CallerMemory.FIELD_BYTES

    /** Number of bytes that have arrived and are not decoded yet. */
    val undecodedBytes: Int get() = actualReadableBytes()

    /** Decodes nothing more; what has arrived in part and what arrives is dropped. */
    fun discard(context: ChannelHandlerContext) {
        if (isDiscarding) return
        isDiscarding = true
        // The decoder drops its message when it decodes next, even if that is nothing.
        reset()
        super.decode(context, Unpooled.EMPTY_BUFFER, mutableListOf())
        fields.count = 0
    }

    /** Number of bytes that have arrived of a request whose end has not been decoded. */
    val unfinishedBytes: Long get() = if (hasBegun) decodedBytes + actualReadableBytes() else 0

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (isDiscarding) {
            buffer.skipBytes(buffer.readableBytes())
            return
        }
        // The decoder skips control characters and whitespace before a request.
        if (!hasBegun) hasBegun = buffer.forEachByte { it <= ' '.code.toByte() } >= 0
        val before = buffer.readableBytes()
        super.decode(context, buffer, out)
        decodedBytes += before - buffer.readableBytes()
        if (out.isNotEmpty()) fields.count = 0
        if (fields.isDue()) onPartialHead()
        if (out.lastOrNull() !is LastHttpContent) return
        hasBegun = false
        decodedBytes = 0
    }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding")
}

/** Counts the fields of the head or trailer that is being decoded. */
private class FieldCounter : HttpHeadersFactory {
    var count = 0
    private var reported = 0

    /** Whether enough fields have come since the last report. */
    fun isDue(): Boolean {
        if (count < reported) reported = count
        if (count - reported < REPORT_FIELDS) return false
        reported = count
        return true
    }

    override fun newHeaders(): HttpHeaders = object : DefaultHttpHeaders() {
        override fun add(name: CharSequence, value: Any): HttpHeaders {
            count++
            return super.add(name, value)
        }
    }

    override fun newEmptyHeaders(): HttpHeaders = newHeaders()

    private companion object {
        /** More than an ordinary head has. */
        const val REPORT_FIELDS = 32
    }
}

/**
 * Decodes targets' responses.
 *
 * @param heads memory of the heads that have arrived in part on all connections.
 */
internal class ResponseDecoder(heads: BufferBudget) : HttpResponseDecoder(responseConfig()) {
    private val kept = heads.open()

    /** Number of decoded bytes of a head, chunk size or trailer whose end has not arrived. */
    private var partialBytes = 0

    /** Whether the request was a HEAD, whose response has no body. */
    var isHead: Boolean = false

    /** Whether bytes have arrived that are not part of a decoded message yet. */
    val hasUnparsedBytes: Boolean get() = actualReadableBytes() > 0

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        isHead || super.isContentAlwaysEmpty(message)

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding")

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        val messages = out.size
        val before = buffer.readableBytes()
        super.decode(context, buffer, out)
        if (out.size > messages) {
            partialBytes = 0
            return kept.release()
        }
        val left = buffer.readableBytes()
        partialBytes += before - left
        val partial = partialBytes + left
        if (!kept.tryKeep(partial)) {
            throw TooLongHttpHeaderException("a head of $partial bytes, beside those of others")
        }
    }

    override fun handlerRemoved0(context: ChannelHandlerContext) {
        kept.release()
        super.handlerRemoved0(context)
    }

    private companion object {
        const val RESPONSE_HEADER_BYTES = 32_768

        fun responseConfig(): HttpDecoderConfig = config(RESPONSE_HEADER_BYTES)
            .setHeadersFactory(LimitedHeaders)
            .setTrailersFactory(LimitedHeaders)
    }
}

/** Creates headers of limited number, since a short line takes many times its size in memory. */
private object LimitedHeaders : HttpHeadersFactory {
    private const val MAX_FIELDS = 100

    override fun newHeaders(): HttpHeaders = object : DefaultHttpHeaders() {
        override fun add(name: CharSequence, value: Any): HttpHeaders {
            if (size() >= MAX_FIELDS) {
                throw TooLongHttpHeaderException("more than $MAX_FIELDS header fields")
            }
            return super.add(name, value)
        }
    }

    override fun newEmptyHeaders(): HttpHeaders = newHeaders()
}
