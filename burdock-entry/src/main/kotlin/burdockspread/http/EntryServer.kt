/** HTTP server of an entry host, with one port for callers and one for operators. */
package burdockspread.http

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.id.RequestId
import com.google.common.net.HostAndPort
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.install
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationEngine
import io.ktor.server.plugins.statuspages.StatusPages
import io.ktor.server.routing.Route
import io.ktor.server.routing.RouteSelector
import io.ktor.server.routing.RouteSelectorEvaluation
import io.ktor.server.routing.RoutingResolveContext
import io.ktor.server.routing.routing
import org.apache.logging.log4j.LogManager
import java.io.IOException
import kotlin.time.Duration

/** HTTP server for both ports on one Ktor engine, so that they share its threads. */
internal class EntryServer(
    private val caller: HostAndPort,
    private val operator: HostAndPort,
    private val idleTimeout: Duration,
    private val callerRoutes: CallerRoutes,
    private val operatorRoutes: OperatorRoutes,
) {
    private val server: EmbeddedServer<*, *> =
        embeddedServer(Netty, configure = { configure() }) { module() }

    /** Opens both ports and returns at once. */
    fun start() {
        server.start(wait = false)
    }

    /** Closes both ports: waits briefly for pending responses, then drops open connections. */
    fun stop() {
        server.stop(GRACE_MILLIS, STOP_MILLIS)
    }

    private fun NettyApplicationEngine.Configuration.configure() {
        listOf(caller, operator).forEach { address ->
            connector {
                host = address.host
                port = address.port
            }
        }
        responseWriteTimeoutSeconds = 0
        channelPipelineConfig = {
            addAfter(HTTP_CODEC, "idle", IdleConnectionHandler(idleTimeout))
        }
    }

    private fun Application.module() {
        install(StatusPages) {
            unhandled { callerRoutes.refuseUnknownPath(it) }
            exception<Throwable> { call, cause -> handleException(call, cause) }
        }
        routing {
            routesOnPort(caller.port) {
                callerRoutes.install(this)
                operatorRoutes.installHealth(this)
            }
            routesOnPort(operator.port) { operatorRoutes.install(this) }
        }
    }

    private suspend fun handleException(call: ApplicationCall, cause: Throwable) {
        if (cause is IOException) return
        log.error("unexpected exception while handling an HTTP request", cause)
        val refusal = Refusal(ErrorCode.INTERNAL, "internal error")
        callerRoutes.refuse(call, RequestId("unknown"), refusal)
    }

    private fun Route.routesOnPort(port: Int, build: Route.() -> Unit) {
        createChild(PortSelector(port)).build()
    }

    private class PortSelector(private val port: Int) : RouteSelector() {
        override suspend fun evaluate(
            context: RoutingResolveContext,
            segmentIndex: Int,
        ): RouteSelectorEvaluation = if (context.call.request.local.localPort == port) {
            RouteSelectorEvaluation.Transparent
        } else {
            RouteSelectorEvaluation.Failed
        }
    }

    private companion object {
        const val HTTP_CODEC = "codec"
        const val GRACE_MILLIS = 200L
        const val STOP_MILLIS = 2_000L
        val log = LogManager.getLogger(EntryServer::class.java)
    }
}
