/** Refusals of requests that are not well-formed or too large. */
package burdockspread.forward.http

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.forward.catalog.CallerLimits
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil

/** Returns why the request with this head is refused before its body is read, or null. */
internal fun HttpRequest.refusal(limits: CallerLimits): Refusal? {
    val transfer = headers().getAll("Transfer-Encoding")
    return when {
        transfer.size > 1 || transfer.any { !it.trim().equals("chunked", ignoreCase = true) } ->
            malformed("unsupported Transfer-Encoding")
        headers().getAll("Host").size != 1 -> malformed("exactly one Host header is required")
        !uri().startsWith('/') -> malformed("the request target is not a path")
        HttpUtil.getContentLength(this, 0L) > limits.maxBodyBytes -> bodyTooLarge()
        else -> null
    }
}

/** Returns the refusal of a request that could not be decoded because of [cause]. */
internal fun undecodable(cause: Throwable): Refusal = when (cause) {
    is TooLongFrameException -> Refusal(ErrorCode.HEADERS_TOO_LARGE, cause.message.orEmpty())
    else -> malformed(cause.message.orEmpty())
}

internal fun bodyTooLarge(): Refusal =
    Refusal(ErrorCode.BODY_TOO_LARGE, "the body exceeds the limit")

private fun malformed(detail: String) = Refusal(ErrorCode.MALFORMED_REQUEST, detail)
