/** The state of a host as JSON, for operators. */
package burdockspread.forward.host

import burdockspread.id.HostId
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import kotlin.time.Instant

/** Returns the versions, targets, pools and peers as of [now]. */
internal fun stateDump(
    view: HostView,
    pools: ServicePools,
    peers: Collection<String>,
    openRequests: Int,
    isFollowingStore: Boolean,
    relay: HostId?,
    now: Instant,
): JsonObject = buildJsonObject {
    put("now", now.toString())
    put("serving", view.serving)
    put("openRequests", openRequests)
    put("watchesStore", isFollowingStore)
    put("relay", relay?.value)
    putJsonObject("configuration") {
        put("version", view.catalog?.version)
        put("confirmed", view.isConfirmed)
        put("routes", view.catalog?.routes?.size ?: 0)
    }
    putTargets(view)
    putJsonObject("rollouts") {
        view.rollouts.values.forEach { order ->
            putJsonObject(order.service.value) {
                put("version", order.version)
                put("state", order.state.name)
                put("storeVersion", order.storeVersion)
                put("age", (now - order.orderedAt).toString())
                put("duration", order.duration.toString())
            }
        }
    }
    putJsonObject("pools") {
        pools.entries().forEach { (service, pool) ->
            val stats = pool.policy.stats(now)
            putJsonObject(service.value) {
                put("targets", stats.targets)
                put("suspected", stats.ejected)
                put("flights", stats.inFlight)
                put("waiting", stats.waiting)
            }
        }
    }
    putJsonArray("peers") { peers.forEach { add(it) } }
}

private fun JsonObjectBuilder.putTargets(view: HostView) {
    putJsonObject("targets") {
        put("storeVersion", view.directory.version)
        view.directory.services.forEach { (service, targets) ->
            putJsonArray(service.value) {
                targets.forEach { listed ->
                    val suffix = if (listed.unconfirmedUntil != null) " (doubtful)" else ""
                    add("${listed.entry.id} at ${listed.entry.address}$suffix")
                }
            }
        }
    }
}
