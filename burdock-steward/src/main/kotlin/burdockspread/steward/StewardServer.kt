/** Operator port of a steward. */
package burdockspread.steward

import burdockspread.order.PlacementStatus
import com.google.common.net.HostAndPort
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** State of a steward at one point in time. */
internal data class StewardDump(
    val host: String,
    val failureDomain: String,
    val duty: String,
    val fencingToken: Long?,
    val sections: Map<String, Long>,
    val placement: PlacementStatus,
)

@Serializable
private data class StewardDumpJson(
    val host: String,
    val failureDomain: String,
    val duty: String,
    val fencingToken: Long?,
    val sections: Map<String, Long>,
    val targets: Int,
    val targetsBehind: Int,
    val ordersInFlight: Int,
    val heldByFloor: Int,
    val heldByLoads: Int,
    val targetsUnseen: Int,
)

/** HTTP server for health checks, the state dump and drain requests. */
internal class StewardServer(address: String, private val dump: () -> StewardDump) {
    private lateinit var onDrain: () -> Unit

    private val listenAddress = HostAndPort.fromString(address)
    private val server =
        embeddedServer(Netty, listenAddress.port, listenAddress.host) {
            routing {
                get("/healthz") { call.respondText("ok") }
                get("/readyz") { call.respondText("ready") }
                get("/state") { call.respondText(state(), ContentType.Application.Json) }
                post("/drain") {
                    onDrain()
                    call.respondText("{}", ContentType.Application.Json, HttpStatusCode.Accepted)
                }
            }
        }

    /** Opens the port. [drain] is called when an operator requests a drain. */
    fun start(drain: () -> Unit) {
        onDrain = drain
        server.start(wait = false)
    }

    /** Closes the port. */
    fun stop() {
        server.stop(0, STOP_MILLIS)
    }

    private fun state(): String {
        val now = dump()
        return json.encodeToString(
            StewardDumpJson(
                now.host,
                now.failureDomain,
                now.duty,
                now.fencingToken,
                now.sections,
                now.placement.targets,
                now.placement.behind,
                now.placement.inFlight,
                now.placement.heldByFloor,
                now.placement.heldByLoads,
                now.placement.unseen,
            ),
        )
    }

    private companion object {
        const val STOP_MILLIS = 1_000L
        val json = Json { prettyPrint = true }
    }
}
