/** Headers that concern one connection only. */
package burdockspread.forward.http

import burdockspread.forward.exchange.Header
import io.netty.handler.codec.http.HttpHeaders

private val HOP_BY_HOP = setOf(
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
)

/** The headers that are passed on, in order and spelled as they came. */
internal fun HttpHeaders.endToEnd(dropped: Set<String> = emptySet()): List<Header> {
    val named = getAll("Connection").flatMap { it.split(',') }.map { it.trim().lowercase() }
    return mapNotNull { (name, value) ->
        val plain = name.lowercase()
        val kept = plain !in HOP_BY_HOP && plain !in dropped && plain !in named
        if (kept) Header(name, value) else null
    }
}

/** Whether a comma-separated header of this name holds [token]. */
internal fun HttpHeaders.hasToken(name: String, token: String): Boolean =
    getAll(name).any { line -> line.split(',').any { it.trim().equals(token, ignoreCase = true) } }
