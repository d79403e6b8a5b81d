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
 * @property version rises with each accepted edit, in uneven steps.
 */
public class Catalog(
    public val version: Long,
    public val routes: ImmutableList<Route>,
    public val services: ImmutableMap<ServiceId, Service>,
    public val organisations: ImmutableList<Organisation>,
    public val limits: CallerLimits,
) {
    private val byPrefix: Map<String, Map<String, Route>> =
        routes.groupBy { it.host }.mapValues { (_, own) -> own.associateBy { it.pathPrefix } }
    private val byKey: ImmutableMap<String, Organisation> =
        organisations.flatMap { owner -> owner.keys.map { it to owner } }.toMap().toImmutableMap()

    /** Whether callers need a key, unless their route is anonymous. */
    public val needsKeys: Boolean get() = organisations.isNotEmpty()

    /** The route of [host] with the longest prefix that begins [path], or null. */
    public fun route(host: String, path: String): Route? {
        val own = byPrefix[host] ?: return null
        var slash = path.lastIndexOf('/')
        while (slash >= 0) {
            own[path.substring(0, slash + 1)]?.let { return it }
            slash = if (slash == 0) -1 else path.lastIndexOf('/', slash - 1)
        }
        return null
    }

    /** The organisation that holds [key], or null. */
    public fun organisation(key: String): Organisation? = byKey[key]
}

/**
 * Where requests to a host name and path go, and what may be done with them.
 *
 * @property pathPrefix begins and ends with a slash.
 * @property timeout longest time that a request may be kept waiting.
 * @property latencyObjective time within which an answer, or a stream's first event, is on time.
 * @property pauseObjective longest pause between events with which a stream is on time, or null.
 * @property maxAttempts most targets to which one request may be sent.
 * @property priority 0 is the most urgent.
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
    public val anonymous: Boolean,
    public val split: ImmutableList<WeightedService>,
)

/** A service with its share of a route's requests. */
public data class WeightedService(public val service: ServiceId, public val weight: Int)

/** What may be repeated. */
public enum class CallKind(
    /** Whether a request may run more than once. */
    public val repeatable: Boolean,
    /** Whether the answer is a stream of events. */
    public val stream: Boolean,
) {
    IDEMPOTENT(repeatable = true, stream = false),
    NON_IDEMPOTENT(repeatable = false, stream = false),
    STREAM(repeatable = false, stream = true),
    RESUMABLE_STREAM(repeatable = true, stream = true),
}

/**
 * A service and what its targets can do.
 *
 * @property maxConnections connections that one target takes from all callers together.
 * @property engine figures of its model runners, or null for a plain service.
 */
public data class Service(
    public val id: ServiceId,
    public val maxConnections: Int,
    public val engine: EngineSpec?,
)

/**
 * What the model runners of a service have in common.
 *
 * @property kvCacheTokens tokens of running requests and cached prompts that fit into one runner.
 * @property replicatesKvCache whether a runner sends a run's memory to another one as it grows.
 */
public data class EngineSpec(
    public val slots: Int,
    public val kvCacheTokens: Int,
    public val replicatesKvCache: Boolean,
)

/** An organisation and the keys of its callers. */
public data class Organisation(
    public val id: OrganisationId,
    public val keys: ImmutableList<String>,
    public val priority: Int?,
)

/** Bounds on what a caller may send, and how long it may take. */
public data class CallerLimits(
    public val maxHeaderBytes: Int,
    public val maxBodyBytes: Int,
    public val headerTimeout: Duration,
    public val idleTimeout: Duration,
)
