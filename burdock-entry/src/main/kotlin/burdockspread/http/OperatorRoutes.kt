/** Routes of the operator port. */
package burdockspread.http

import burdockspread.drain.DrainGate
import burdockspread.drain.DrainPhase
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry

/** State and actions of a process that the operator port exposes. */
internal interface OperatorView {
    /** Whether the process is ready to serve. */
    val ready: Boolean

    /** Returns the state of the process as JSON. */
    fun state(): String

    /** Returns the health of the fleet as JSON. */
    fun fleet(): String

    /** Starts a graceful shutdown. */
    fun drain()
}

/** Endpoints for health checks, metrics, the state dump, the fleet report and draining. */
internal class OperatorRoutes(
    private val view: OperatorView,
    private val gate: DrainGate,
    private val metrics: PrometheusMeterRegistry,
) {
    /** Adds the routes that are reserved for operators. */
    fun install(route: Route) {
        installHealth(route)
        route.get("/metrics") { call.respondText(metrics.scrape(), PROMETHEUS) }
        route.get("/state") { call.respondText(view.state(), ContentType.Application.Json) }
        route.get("/fleet") { call.respondText(view.fleet(), ContentType.Application.Json) }
        route.post("/drain") {
            view.drain()
            call.respondText("{}", ContentType.Application.Json, HttpStatusCode.Accepted)
        }
    }

    /** Adds the health check routes, which load balancers use, too. */
    fun installHealth(route: Route) {
        route.get("/healthz") { call.respondText("ok") }
        route.get("/readyz") {
            val ready = view.ready && gate.currentPhase == DrainPhase.SERVING
            val status = if (ready) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
            call.respondText(if (ready) "ready" else "not ready", status = status)
        }
    }

    private companion object {
        val PROMETHEUS = ContentType.parse("text/plain; version=0.0.4; charset=utf-8")
    }
}
