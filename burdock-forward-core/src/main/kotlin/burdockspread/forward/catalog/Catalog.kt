/** The configuration that forwarding hosts act on. */
package burdockspread.forward.catalog

import burdockspread.id.OrganisationId
import burdockspread.id.ServiceId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.toImmutableMap
import kotlin.time.Duration

/**
 * One version of the configuration. Immutable; hosts replace it as a whole.
 *
 * @property version increases with each accepted edit, not always by one.
 */
public class Catalog(
    public val version: Long,
    public val routes: ImmutableList<Route>,
    public val services: ImmutableMap<ServiceId, Service>,
    public val organisations: ImmutableList<Organisation>,
    public val limits: CallerLimits,
) {
    private val routesByPrefix: Map<String, Map<String, Route>> =
        routes.groupBy { it.host }.mapValues { (_, ofHost) -> ofHost.associateBy { it.pathPrefix } }
    private val organisationsByKey: ImmutableMap<String, Organisation> =
        organisations.flatMap { owner -> owner.keys.map { it to owner } }.toMap().toImmutableMap()

    /** Whether callers need an API key, except on anonymous routes. */
    public val requiresKeys: Boolean get() = organisations.isNotEmpty()

    /** Returns the route of [host] with the longest prefix that matches [path], or null. */
    public fun route(host: String, path: String): Route? {
        val ofHost = routesByPrefix[host] ?: return null
        var slash = path.lastIndexOf('/')
        while (slash >= 0) {
            ofHost[path.substring(0, slash + 1)]?.let { return it }
            slash = if (slash == 0) -1 else path.lastIndexOf('/', slash - 1)
        }
        return null
    }

    /** Returns the organisation that owns [key], or null. */
    public fun organisation(key: String): Organisation? = organisationsByKey[key]
}

/**
 * Routing and limits of the requests to a host name and path prefix.
 *
 * @property pathPrefix begins and ends with a slash.
 * @property timeout maximum duration of a request.
 * @property latencyObjective time within which a response or a stream's first event is on time.
 * @property pauseObjective longest pause between events with which a stream is on time, or null.
 * @property maxAttempts maximum number of targets to which one request may be sent.
 * @property priority 0 is the most urgent.
 * @property split services of the requests; at least one weight is above 0.
 */
public data class Route(
    public val name: String,
    public val host: String,
    public val pathPrefix: String,
    public val kind: CallKind,
    public val timeout: Duration,
    public val latencyObjective: Duration,
    public val pauseObjective: Duration?,
    public val priority: Int,
    public val maxAttempts: Int,
    public val allowsAnonymous: Boolean,
    public val split: ImmutableList<WeightedService>,
)

/** A service and its relative weight in a route's traffic split. */
public data class WeightedService(public val service: ServiceId, public val weight: Double)

/** Retry semantics of a route's requests. */
public enum class CallKind(
    /** Whether a request may be executed more than once. */
    public val isRepeatable: Boolean,
    /** Whether the response is a stream of events. */
    public val isStream: Boolean,
) {
    IDEMPOTENT(isRepeatable = true, isStream = false),
    NON_IDEMPOTENT(isRepeatable = false, isStream = false),
    STREAM(isRepeatable = false, isStream = true),
    RESUMABLE_STREAM(isRepeatable = true, isStream = true),
}

/**
 * A service and the capabilities of its targets.
 *
 * @property maxConnections number of connections that one target accepts from all callers together.
 * @property engine capacity of its model runners, or null for a plain service.
 */
public data class Service(
    public val id: ServiceId,
    public val maxConnections: Int,
    public val engine: EngineSpec?,
)

/**
 * Capacity that the model runners of a service have in common.
 *
 * @property kvCacheTokens tokens of running requests and cached prompts that fit into one runner.
 * @property replicatesKvCache whether a runner replicates the KV cache of a request to another
 * runner as it grows.
 */
public data class EngineSpec(
    public val slots: Int,
    public val kvCacheTokens: Int,
    public val replicatesKvCache: Boolean,
)

/** An organisation and the API keys of its callers. */
public data class Organisation(
    public val id: OrganisationId,
    public val keys: ImmutableList<String>,
    public val priority: Int?,
)

/** Limits on the size and duration of callers' requests. */
public data class CallerLimits(
    public val maxHeaderBytes: Int,
    public val maxBodyBytes: Int,
    public val headerTimeout: Duration,
    public val idleTimeout: Duration,
)
