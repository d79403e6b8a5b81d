/** Routing policies: the target chooser and its baselines. */
package burdockspread.bench.routing

import arrow.core.getOrElse
import burdockspread.id.FailureDomainId
import burdockspread.id.ModelId
import burdockspread.id.TargetId
import burdockspread.route.CacheEvent
import burdockspread.route.Choice
import burdockspread.route.InFlightRequest
import burdockspread.route.LoadReport
import burdockspread.route.PoolKey
import burdockspread.route.RequestFailure
import burdockspread.route.RouteOptions
import burdockspread.route.RouteRequest
import burdockspread.route.TargetChooser
import burdockspread.route.TargetPool
import burdockspread.route.TargetRegistry
import burdockspread.route.TargetSpec
import kotlin.random.Random

/** Target choice of one entry host. */
internal interface RoutingPolicy {
    /** Returns the index of the engine for [request]. */
    fun choose(request: SimRequest): Int

    fun onSent(request: SimRequest, engine: Int) = Unit

    fun onFirstToken(request: SimRequest, cachedTokens: Int) = Unit

    fun onEnded(request: SimRequest, engine: Int, broken: Boolean) = Unit

    fun onReport(engine: Int, report: LoadReport) = Unit

    fun onCacheEvent(event: CacheEvent) = Unit

    fun interface Factory {
        fun create(host: Int, engines: List<BatchingEngine>, simulation: Simulation): RoutingPolicy
    }
}

internal class RandomPolicy(private val random: Random, private val count: Int) : RoutingPolicy {
    override fun choose(request: SimRequest): Int = random.nextInt(count)
}

internal class RoundRobinPolicy(start: Int, private val count: Int) : RoutingPolicy {
    private var next = start

    override fun choose(request: SimRequest): Int = next++ % count
}

/** Chooses the engine with the fewest of this host's requests in flight. */
internal class LeastConnectionsPolicy(private val random: Random, count: Int) : RoutingPolicy {
    private val open = IntArray(count)

    override fun choose(request: SimRequest): Int {
        val minimum = open.min()
        val leastLoaded = open.indices.filter { open[it] == minimum }
        return leastLoaded[random.nextInt(leastLoaded.size)]
    }

    override fun onSent(request: SimRequest, engine: Int) {
        open[engine]++
    }

    override fun onEnded(request: SimRequest, engine: Int, broken: Boolean) {
        open[engine]--
    }
}

/** Chooses the least loaded of [choices] random engines by their last load reports. */
internal class ReportedLoadPolicy(
    private val random: Random,
    count: Int,
    private val choices: Int,
) : RoutingPolicy {
    private val loads = IntArray(count)

    override fun choose(request: SimRequest): Int {
        val candidates = if (choices >= loads.size) {
            loads.indices.toList()
        } else {
            List(choices) { random.nextInt(loads.size) }
        }
        val minimum = candidates.minOf { loads[it] }
        return candidates.filter { loads[it] == minimum }.random(random)
    }

    override fun onReport(engine: Int, report: LoadReport) {
        loads[engine] = report.running + report.queued
    }
}

/** Chooses with the production [TargetChooser]. */
internal class ChooserPolicy(
    host: Int,
    engines: List<BatchingEngine>,
    private val simulation: Simulation,
    private val prefixAware: Boolean,
    options: RouteOptions = RouteOptions(),
) : RoutingPolicy {
    private val registry = TargetRegistry(options)
    private val domain: FailureDomainId = engines[host % engines.size].domain
    private val indices = engines.withIndex().associate { it.value.id to it.index }
    private val inFlight = HashMap<Int, InFlightRequest>()
    val chooser = TargetChooser(domain, registry, host.toLong(), options)
    val pool: TargetPool = registry.pool(
        PoolKey.Model(ModelId("m")),
        engines.map { TargetSpec(it.id, it.domain, it.slots) },
    )
    private var lastChoice: Choice? = null

    override fun choose(request: SimRequest): Int {
        val choice = chooser.choose(routeOf(request), pool, simulation.now).getOrElse {
            return request.id % indices.size
        }
        lastChoice = choice
        return indexOf(choice.target.id)
    }

    override fun onSent(request: SimRequest, engine: Int) {
        lastChoice?.let { recordSent(request, it) }
        lastChoice = null
    }

    fun recordSent(request: SimRequest, choice: Choice) {
        inFlight[request.id] = chooser.onSent(routeOf(request), choice, simulation.now)
    }

    fun indexOf(target: TargetId): Int = indices.getValue(target)

    override fun onFirstToken(request: SimRequest, cachedTokens: Int) {
        inFlight[request.id]?.onFirstToken(simulation.now, cachedTokens)
    }

    override fun onEnded(request: SimRequest, engine: Int, broken: Boolean) {
        val inFlightRequest = inFlight.remove(request.id) ?: return
        if (broken) {
            inFlightRequest.onFailed(RequestFailure.NOT_CONNECTED, simulation.now)
        } else {
            inFlightRequest.onDone(simulation.now)
        }
    }

    override fun onReport(engine: Int, report: LoadReport) = chooser.onReport(report)

    override fun onCacheEvent(event: CacheEvent) {
        if (prefixAware) chooser.onCacheEvent(event, simulation.now)
    }

    fun routeOf(request: SimRequest): RouteRequest = if (prefixAware) {
        RouteRequest(promptTokens = request.promptTokens, blocks = request.prompt)
    } else {
        RouteRequest(promptTokens = request.promptTokens)
    }
}
