/** Stand-in for a plain service whose calls may not be repeated. */
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
 * Serves `POST /{call}` on [port] of the loopback address and counts the sends of each
 * `Idempotency-Key`; `GET /counts` lists them. It never removes duplicates itself.
 */
public class OrderDeskServer(port: Int, private val work: Duration = Duration.ZERO) {
    private val sends = ConcurrentHashMap<String, AtomicInteger>()
    private val bookings = AtomicInteger()

    /** Whether calls are counted but never answered. */
    @Volatile public var silent: Boolean = false

    private val server: EmbeddedServer<*, *> =
        embeddedServer(Netty, port, "127.0.0.1") {
            routing {
                get("/counts") { call.respondText(counts(), ContentType.Application.Json) }
                get("/health") { call.respondText("ok") }
                post("/fault/{name}") {
                    silent = call.parameters["name"] == "silent"
                    call.respondText("$silent")
                }
                post("/{call}") { serve() }
            }
        }

    /** Starts the server and returns at once. */
    public fun start() {
        server.start(wait = false)
    }

    /** Stops the server. */
    public fun stop() {
        server.stop(0, 0)
    }

    /** Number of times that a call with [key] came in. */
    public fun sends(key: String): Int = sends[key]?.get() ?: 0

    private suspend fun RoutingContext.serve() {
        val key = call.request.header("Idempotency-Key").orEmpty()
        call.receiveText()
        val count = sends.computeIfAbsent(key) { AtomicInteger() }.incrementAndGet()
        val booking = bookings.incrementAndGet()
        if (silent) awaitCancellation()
        delay(work)
        val answer = """{"booking":$booking,"sends":$count}"""
        call.respondText(answer, ContentType.Application.Json)
    }

    private fun counts(): String = sends.entries.sortedBy {
        it.key
    }.joinToString(",", "{", "}") { "\"${it.key}\":${it.value}" }
}
