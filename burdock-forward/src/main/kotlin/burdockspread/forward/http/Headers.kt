/** Hop-by-hop headers, which concern a single connection. */
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

/** Returns the headers to forward, in order and with their original case. */
internal fun HttpHeaders.endToEnd(excluded: Set<String> = emptySet()): List<Header> {
    val perHop = getAll("Connection").flatMap { it.split(',') }.map { it.trim().lowercase() }
    return mapNotNull { (name, value) ->
        val lowerName = name.lowercase()
        val isForwarded =
            lowerName !in HOP_BY_HOP && lowerName !in excluded && lowerName !in perHop
        if (isForwarded) Header(name, value) else null
    }
}

/** Returns whether the comma-separated header [name] contains [token]. */
internal fun HttpHeaders.hasToken(name: String, token: String): Boolean =
    getAll(name).any { line -> line.split(',').any { it.trim().equals(token, ignoreCase = true) } }
