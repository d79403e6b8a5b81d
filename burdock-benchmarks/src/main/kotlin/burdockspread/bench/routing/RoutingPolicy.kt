/** Ways to choose a target, the baselines among them. */
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

/** Chooses targets at one entry host. */
internal interface Policy {
    /** Index of the engine for [request]. */
    fun choose(request: SimRequest): Int

    fun onSent(request: SimRequest, engine: Int) = Unit

    fun onFirstToken(request: SimRequest, cachedTokens: Int) = Unit

    fun onEnded(request: SimRequest, engine: Int, broken: Boolean) = Unit

    fun onReport(engine: Int, report: LoadReport) = Unit

    fun onCacheEvent(event: CacheEvent) = Unit

    fun interface Factory {
        fun create(host: Int, engines: List<BatchingEngine>, simulation: Simulation): Policy
    }
}

internal class RandomPolicy(private val random: Random, private val count: Int) : Policy {
    override fun choose(request: SimRequest): Int = random.nextInt(count)
}

internal class RoundRobinPolicy(start: Int, private val count: Int) : Policy {
    private var next = start

    override fun choose(request: SimRequest): Int = next++ % count
}

/** The engine with the fewest own requests in flight. */
internal class LeastConnectionsPolicy(private val random: Random, count: Int) : Policy {
    private val open = IntArray(count)

    override fun choose(request: SimRequest): Int {
        val least = open.min()
        val best = open.indices.filter { open[it] == least }
        return best[random.nextInt(best.size)]
    }

    override fun onSent(request: SimRequest, engine: Int) {
        open[engine]++
    }

    override fun onEnded(request: SimRequest, engine: Int, broken: Boolean) {
        open[engine]--
    }
}

/** The less loaded of [choices] random engines by the last load report. */
internal class ReportedLoadPolicy(
    private val random: Random,
    count: Int,
    private val choices: Int,
) : Policy {
    private val loads = IntArray(count)

    override fun choose(request: SimRequest): Int {
        val candidates = if (choices >= loads.size) {
            loads.indices.toList()
        } else {
            List(choices) { random.nextInt(loads.size) }
        }
        val least = candidates.minOf { loads[it] }
        return candidates.filter { loads[it] == least }.random(random)
    }

    override fun onReport(engine: Int, report: LoadReport) {
        loads[engine] = report.running + report.queued
    }
}

/** The project's target choice. */
internal class ChooserPolicy(
    host: Int,
    engines: List<BatchingEngine>,
    private val simulation: Simulation,
    private val prefixes: Boolean,
    options: RouteOptions = RouteOptions(),
) : Policy {
    private val registry = TargetRegistry(options)
    private val domain: FailureDomainId = engines[host % engines.size].domain
    private val indices = engines.withIndex().associate { it.value.id to it.index }
    private val flights = HashMap<Int, InFlightRequest>()
    val chooser = TargetChooser(domain, registry, host.toLong(), options)
    val pool: TargetPool = registry.pool(
        PoolKey.Model(ModelId("m")),
        engines.map { TargetSpec(it.id, it.domain, it.slots) },
    )
    private var last: Choice? = null

    override fun choose(request: SimRequest): Int {
        val choice = chooser.choose(routeOf(request), pool, simulation.now).getOrElse {
            return request.id % indices.size
        }
        last = choice
        return indexOf(choice.target.id)
    }

    override fun onSent(request: SimRequest, engine: Int) {
        last?.let { sent(request, it) }
        last = null
    }

    fun sent(request: SimRequest, choice: Choice) {
        flights[request.id] = chooser.onSent(routeOf(request), choice, simulation.now)
    }

    fun indexOf(target: TargetId): Int = indices.getValue(target)

    override fun onFirstToken(request: SimRequest, cachedTokens: Int) {
        flights[request.id]?.onFirstToken(simulation.now, cachedTokens)
    }

    override fun onEnded(request: SimRequest, engine: Int, broken: Boolean) {
        val flight = flights.remove(request.id) ?: return
        if (broken) {
            flight.onFailed(RequestFailure.NOT_CONNECTED, simulation.now)
        } else {
            flight.onDone(simulation.now)
        }
    }

    override fun onReport(engine: Int, report: LoadReport) = chooser.onReport(report)

    override fun onCacheEvent(event: CacheEvent) {
        if (prefixes) chooser.onCacheEvent(event, simulation.now)
    }

    fun routeOf(request: SimRequest): RouteRequest = if (prefixes) {
        RouteRequest(promptTokens = request.promptTokens, blocks = request.prompt)
    } else {
        RouteRequest(promptTokens = request.promptTokens)
    }
}
