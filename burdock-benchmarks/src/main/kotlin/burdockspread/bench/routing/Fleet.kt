/** Engines in three failure domains that send their load reports late. */
package burdockspread.bench.routing

import burdockspread.id.FailureDomainId
import burdockspread.id.TargetId
import burdockspread.route.CacheEvent
import kotlinx.collections.immutable.toImmutableList
import kotlin.random.Random

internal class Fleet(
    private val simulation: Simulation,
    factory: Policy.Factory,
    reportDelay: Double,
    hostCount: Int = HOSTS,
) {
    val engines = List(ENGINES) {
        val domain = FailureDomainId("d${it % DOMAINS}")
        BatchingEngine(simulation, TargetId("t$it"), domain)
    }
    val hosts = List(hostCount) { factory.create(it, engines, simulation) }

    private val losses = Random(LOSS_SEED)
    private val sequence = HashMap<TargetId, Long>()

    init {
        engines.forEachIndexed { index, engine ->
            val first = REPORT_SECONDS * (index + 1) / ENGINES
            simulation.every(REPORT_SECONDS, first) { publish(index, engine, reportDelay) }
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

    /** The cache events since the last report, of which some are lost. */
    private fun cacheEvents(engine: BatchingEngine): List<CacheEvent> {
        val changes = engine.takeCacheChanges()
        val number = sequence.merge(engine.id, 2, Long::plus) ?: 0
        val events = listOf(
            CacheEvent.Stored(engine.id, number - 1, changes.stored.toImmutableList()),
            CacheEvent.Removed(engine.id, number, changes.removed.toImmutableList()),
        )
        return events.filter { losses.nextDouble() >= EVENT_LOSS }
    }

    companion object {
        const val EVENT_LOSS = 0.05
        const val LOSS_SEED = 99
        const val ENGINES = 36
        const val DOMAINS = 3
        const val HOSTS = 12
        const val MANY_HOSTS = 120
        const val REPORT_SECONDS = 0.5

        /** Requests per second that fill all slots: a full batch takes 4.5 s for each. */
        const val CAPACITY = 128.0
    }
}
