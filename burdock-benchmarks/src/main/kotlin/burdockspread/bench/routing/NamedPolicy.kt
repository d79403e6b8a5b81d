/** Routing policies under comparison. */
package burdockspread.bench.routing

import kotlin.random.Random

/** A policy with its name in the printed table. */
internal class NamedPolicy(val name: String, val factory: RoutingPolicy.Factory)

internal val ROUTING_POLICIES: List<NamedPolicy> = listOf(
    NamedPolicy("random") { host, engines, _ -> RandomPolicy(Random(host), engines.size) },
    NamedPolicy("round robin") { host, engines, _ -> RoundRobinPolicy(host, engines.size) },
    NamedPolicy("least connections") { host, engines, _ ->
        LeastConnectionsPolicy(Random(host), engines.size)
    },
    NamedPolicy("least reported load") { host, engines, _ ->
        ReportedLoadPolicy(Random(host), engines.size, engines.size)
    },
    NamedPolicy("two random choices") { host, engines, _ ->
        ReportedLoadPolicy(Random(host), engines.size, 2)
    },
    NamedPolicy("chooser, no prefixes") { host, engines, simulation ->
        ChooserPolicy(host, engines, simulation, prefixAware = false)
    },
    NamedPolicy("chooser") { host, engines, simulation ->
        ChooserPolicy(host, engines, simulation, prefixAware = true)
    },
)
