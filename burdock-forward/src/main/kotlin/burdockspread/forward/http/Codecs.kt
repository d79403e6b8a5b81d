/** HTTP/1.1 codecs that refuse messages whose end is ambiguous. */
package burdockspread.forward.http

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponseDecoder

private const val INITIAL_LINE_BYTES = 8_192
private const val CHUNK_BYTES = 65_536

private fun config(headerBytes: Int) = HttpDecoderConfig()
    .setMaxInitialLineLength(INITIAL_LINE_BYTES)
    .setMaxHeaderSize(headerBytes)
    .setMaxChunkSize(CHUNK_BYTES)
    .setAllowDuplicateContentLengths(false)

/** Reads callers' requests; one with both a length and chunks is malformed. */
internal class CallerDecoder(headerBytes: Int) : HttpRequestDecoder(config(headerBytes)) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding")
}

/** Reads targets' answers. */
internal class AnswerDecoder : HttpResponseDecoder(config(ANSWER_HEADER_BYTES)) {
    /** Whether the request was a HEAD, whose answer has no body. */
    var headOnly: Boolean = false

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        headOnly || super.isContentAlwaysEmpty(message)

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding")

    private companion object {
        const val ANSWER_HEADER_BYTES = 32_768
    }
}
