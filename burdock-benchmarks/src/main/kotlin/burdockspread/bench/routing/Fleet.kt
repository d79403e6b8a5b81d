/** Simulated engines in three failure domains, with delayed load reports to the hosts. */
package burdockspread.bench.routing

import burdockspread.id.FailureDomainId
import burdockspread.id.TargetId
import burdockspread.route.CacheEvent
import kotlinx.collections.immutable.toImmutableList
import kotlin.random.Random

internal class Fleet(
    private val simulation: Simulation,
    factory: RoutingPolicy.Factory,
    reportDelay: Double,
    hostCount: Int = HOSTS,
) {
    val engines = List(ENGINES) {
        val domain = FailureDomainId("d${it % DOMAINS}")
        BatchingEngine(simulation, TargetId("t$it"), domain)
    }
    val hosts = List(hostCount) { factory.create(it, engines, simulation) }

    private val eventLossRandom = Random(LOSS_SEED)
    private val sequence = HashMap<TargetId, Long>()

    init {
        engines.forEachIndexed { index, engine ->
            val first = REPORT_INTERVAL_SECONDS * (index + 1) / ENGINES
            simulation.every(REPORT_INTERVAL_SECONDS, first) { publish(index, engine, reportDelay) }
        }
    }

    private fun publish(index: Int, engine: BatchingEngine, delay: Double) {
        if (engine.broken) return
        val report = engine.report()
        val events = cacheEvents(engine)
        simulation.after(delay) {
            hosts.forEach { host ->
                host.onReport(index, report)
                events.forEach(host::onCacheEvent)
            }
        }
    }

    /** Returns the cache events since the last report, without the 5% that are lost. */
    private fun cacheEvents(engine: BatchingEngine): List<CacheEvent> {
        val changes = engine.drainCacheChanges()
        val number = sequence.merge(engine.id, 2, Long::plus) ?: 0
        val events = listOf(
            CacheEvent.Stored(engine.id, number - 1, changes.stored.toImmutableList()),
            CacheEvent.Removed(engine.id, number, changes.removed.toImmutableList()),
        )
        return events.filter { eventLossRandom.nextDouble() >= EVENT_LOSS_RATE }
    }

    companion object {
        const val EVENT_LOSS_RATE = 0.05
        const val LOSS_SEED = 99
        const val ENGINES = 36
        const val DOMAINS = 3
        const val HOSTS = 12
        const val MANY_HOSTS = 120
        const val REPORT_INTERVAL_SECONDS = 0.5

        /** Request rate that fills all slots; a request in a full batch takes 4.5 s. */
        const val CAPACITY_PER_SECOND = 128.0
    }
}
