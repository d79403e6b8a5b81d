/** HTTP/1.1 codecs that reject messages whose end is ambiguous. */
package burdockspread.forward.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.LastHttpContent

private const val INITIAL_LINE_BYTES = 8_192
private const val CHUNK_BYTES = 65_536

private fun config(headerBytes: Int) = HttpDecoderConfig()
    .setMaxInitialLineLength(INITIAL_LINE_BYTES)
    .setMaxHeaderSize(headerBytes)
    .setMaxChunkSize(CHUNK_BYTES)
    .setAllowDuplicateContentLengths(false)

/** Decodes callers' requests; one with both Content-Length and Transfer-Encoding is malformed. */
internal class CallerDecoder(headerBytes: Int) : HttpRequestDecoder(config(headerBytes)) {
    private var hasBegun = false
    private var decodedBytes = 0L

    /** Number of bytes that have arrived of a request whose end has not been decoded. */
    val unfinishedBytes: Long get() = if (hasBegun) decodedBytes + actualReadableBytes() else 0

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        // The decoder skips control characters and whitespace before a request.
        if (!hasBegun) hasBegun = buffer.forEachByte { it <= ' '.code.toByte() } >= 0
        val before = buffer.readableBytes()
        super.decode(context, buffer, out)
        decodedBytes += before - buffer.readableBytes()
        if (out.lastOrNull() !is LastHttpContent) return
        hasBegun = false
        decodedBytes = 0
    }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding")
}

/** Decodes targets' responses. */
internal class ResponseDecoder : HttpResponseDecoder(config(RESPONSE_HEADER_BYTES)) {
    /** Whether the request was a HEAD, whose response has no body. */
    var isHead: Boolean = false

    /** Whether bytes have arrived that are not part of a decoded message yet. */
    val hasUnparsedBytes: Boolean get() = actualReadableBytes() > 0

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        isHead || super.isContentAlwaysEmpty(message)

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding")

    private companion object {
        const val RESPONSE_HEADER_BYTES = 32_768
    }
}
