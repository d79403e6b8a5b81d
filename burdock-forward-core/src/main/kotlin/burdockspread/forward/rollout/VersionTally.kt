/** Responses of two versions of a service. */
package burdockspread.forward.rollout

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableMap

/** Number of responses of one version, and how many of them were failures or much too slow. */
public data class ResponseCount(public val responses: Int = 0, public val bad: Int = 0) {
    internal operator fun plus(other: ResponseCount) =
        ResponseCount(responses + other.responses, bad + other.bad)
}

/** Responses of the old and of the new version to the requests of one route. */
public data class RouteTally(
    public val old: ResponseCount = ResponseCount(),
    public val new: ResponseCount = ResponseCount(),
) {
    internal operator fun plus(other: RouteTally) = RouteTally(old + other.old, new + other.new)
}

/** Responses since the start of a rollout, by the name of the route. */
public data class VersionTally(
    public val routes: ImmutableMap<String, RouteTally> = persistentMapOf(),
) {
    /** Number of responses of both versions. */
    public val responses: Int get() = routes.values.sumOf { it.old.responses + it.new.responses }

    /** Responses to the requests of all routes. */
    public val total: RouteTally get() = routes.values.fold(RouteTally(), RouteTally::plus)

    internal operator fun plus(other: VersionTally): VersionTally {
        val keys = routes.keys + other.routes.keys
        return VersionTally(
            keys.associateWith { (routes[it] ?: RouteTally()) + (other.routes[it] ?: RouteTally()) }
                .toImmutableMap(),
        )
    }

    internal fun with(route: String, change: RouteTally) =
        this + VersionTally(persistentMapOf(route to change))
}
