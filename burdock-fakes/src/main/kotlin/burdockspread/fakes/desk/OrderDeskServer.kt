/** Fake of a plain service with non-idempotent calls. */
package burdockspread.fakes.desk

import io.ktor.http.ContentType
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.request.header
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration

/**
 * Serves `POST /{call}` on [port] of the loopback address and counts the requests for each
 * `Idempotency-Key`; `GET /counts` returns the counts. It does not deduplicate requests.
 */
public class OrderDeskServer(port: Int, private val workTime: Duration = Duration.ZERO) {
    private val sends = ConcurrentHashMap<String, AtomicInteger>()
    private val bookings = AtomicInteger()

    /** Whether requests are counted but get no response. */
    @Volatile public var isUnresponsive: Boolean = false

    private val server: EmbeddedServer<*, *> =
        embeddedServer(Netty, port, "127.0.0.1") {
            routing {
                get("/counts") { call.respondText(countsJson(), ContentType.Application.Json) }
                get("/health") { call.respondText("ok") }
                post("/fault/{name}") {
                    isUnresponsive = call.parameters["name"] == "silent"
                    call.respondText("$isUnresponsive")
                }
                post("/{call}") { handleCall() }
            }
        }

    /** Starts the server without blocking. */
    public fun start() {
        server.start(wait = false)
    }

    /** Stops the server. */
    public fun stop() {
        server.stop(0, 0)
    }

    /** Returns the number of requests received with idempotency key [key]. */
    public fun sends(key: String): Int = sends[key]?.get() ?: 0

    private suspend fun RoutingContext.handleCall() {
        val key = call.request.header("Idempotency-Key").orEmpty()
        call.receiveText()
        val count = sends.computeIfAbsent(key) { AtomicInteger() }.incrementAndGet()
        val booking = bookings.incrementAndGet()
        if (isUnresponsive) awaitCancellation()
        delay(workTime)
        val answer = """{"booking":$booking,"sends":$count}"""
        call.respondText(answer, ContentType.Application.Json)
    }

    private fun countsJson(): String = sends.entries.sortedBy {
        it.key
    }.joinToString(",", "{", "}") { "\"${it.key}\":${it.value}" }
}
