/** Simulates one policy under one load and one delay of the load reports. */
package burdockspread.bench.routing

import org.HdrHistogram.Histogram
import kotlin.math.sqrt

/** Results of one run. */
internal data class RoutingResult(
    val p50Millis: Long,
    val p95Millis: Long,
    val p99Millis: Long,
    val tokenGapP95Millis: Long,
    val cacheHitRate: Double,
    /** Coefficient of variation of the engines' loads, averaged over time. */
    val spread: Double,
)

internal class RoutingTrial(
    factory: RoutingPolicy.Factory,
    private val loadFactor: Double,
    reportDelay: Double,
    hostCount: Int = Fleet.HOSTS,
    seed: Long = SEED,
) {
    private val simulation = Simulation()
    private val workload = Workload(seed)
    private val fleet = Fleet(simulation, factory, reportDelay, hostCount)
    private val firstToken = Histogram(MAX_MILLIS, 3)
    private val tokenGap = Histogram(MAX_MILLIS, 3)
    private var cachedTokensTotal = 0L
    private var promptTokensTotal = 0L
    private val spreads = ArrayList<Double>()

    fun run(): RoutingResult {
        scheduleArrival()
        simulation.every(1.0) { if (simulation.seconds > WARM_UP_SECONDS) spreads += spread() }
        simulation.runUntil(WARM_UP_SECONDS + MEASURED_SECONDS)
        return RoutingResult(
            firstToken.getValueAtPercentile(50.0),
            firstToken.getValueAtPercentile(95.0),
            firstToken.getValueAtPercentile(99.0),
            tokenGap.getValueAtPercentile(95.0),
            cachedTokensTotal / promptTokensTotal.toDouble(),
            spreads.average(),
        )
    }

    private fun scheduleArrival() {
        simulation.after(workload.interarrivalSeconds(Fleet.CAPACITY_PER_SECOND * loadFactor)) {
            send(workload.next())
            scheduleArrival()
        }
    }

    private fun send(request: SimRequest) {
        val host = fleet.hosts[request.id % fleet.hosts.size]
        val index = host.choose(request)
        val sentAt = simulation.seconds
        host.onSent(request, index)
        fleet.engines[index].submit(
            request,
            object : EngineListener {
                private var firstAt = 0.0

                override fun onFirstToken(cachedTokens: Int) {
                    firstAt = simulation.seconds
                    host.onFirstToken(request, cachedTokens)
                    if (sentAt > WARM_UP_SECONDS) record(request, firstAt - sentAt, cachedTokens)
                }

                override fun onDone() {
                    host.onEnded(request, index, broken = false)
                    val gap = (simulation.seconds - firstAt) / (request.outputTokens - 1)
                    if (sentAt > WARM_UP_SECONDS) tokenGap.recordValue((gap * MILLIS).toLong())
                }

                override fun onBroken() = host.onEnded(request, index, broken = true)
            },
        )
    }

    private fun record(request: SimRequest, seconds: Double, cachedTokens: Int) {
        firstToken.recordValue((seconds * MILLIS).toLong().coerceAtMost(MAX_MILLIS))
        cachedTokensTotal += cachedTokens
        promptTokensTotal += request.promptTokens
    }

    private fun spread(): Double {
        val loads = fleet.engines.map { it.load.toDouble() }
        val mean = loads.average()
        return sqrt(loads.sumOf { (it - mean) * (it - mean) } / loads.size) / mean
    }

    companion object {
        const val SEED = 20_260L
        const val WARM_UP_SECONDS = 30.0
        const val MEASURED_SECONDS = 120.0
        private const val MILLIS = 1_000.0
        private const val MAX_MILLIS = 600_000L
    }
}
