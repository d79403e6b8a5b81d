/** Health monitoring of the fleet. */
package burdockspread.fleet

import burdockspread.document.DocumentView
import burdockspread.document.Model
import burdockspread.document.Target
import burdockspread.health.DegradedTarget
import burdockspread.health.DomainSummary
import burdockspread.health.FleetHealth
import burdockspread.health.FleetView
import burdockspread.health.ModelSummary
import burdockspread.health.OutlierDetector
import burdockspread.health.OutlierEffect
import burdockspread.health.OutlierOptions
import burdockspread.id.FailureDomainId
import burdockspread.id.ModelId
import burdockspread.id.TargetId
import burdockspread.load.LoadCache
import burdockspread.pool.TargetRouter
import burdockspread.time.TimeSource
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.delay
import org.apache.logging.log4j.LogManager
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Source of a [FleetWatch]'s data and publisher of its summaries. */
internal interface FleetWatchDelegate {
    /** Returns the active document. */
    fun document(): DocumentView

    /** Returns whether [target] accepts new work. */
    fun acceptsWork(target: Target): Boolean

    /** Publishes the summary of this failure domain to the others. */
    fun publish(summary: DomainSummary)
}

/**
 * Detects degraded targets among those that this host uses, and summarises the spare capacity of
 * its failure domain.
 */
internal class FleetWatch(
    private val domain: FailureDomainId,
    private val delegate: FleetWatchDelegate,
    private val router: TargetRouter,
    private val loads: LoadCache,
    private val refusals: RecentRefusals,
    private val time: TimeSource,
) {
    private val health = FleetHealth()
    private val detectors = ConcurrentHashMap<ModelId, OutlierDetector>()
    private val degradedByModel = ConcurrentHashMap<ModelId, List<DegradedTarget>>()

    /** Targets whose weight this host has reduced. */
    val degradedTargets: List<DegradedTarget> get() = degradedByModel.values.flatten()

    /** Returns a view of the fleet from the summaries received by this host. */
    fun view(): FleetView = health.view(time.now())

    /** Records the summary of another failure domain. */
    fun onSummary(summary: DomainSummary): Unit = health.onSummary(summary)

    /** Monitors the fleet until cancelled. */
    suspend fun run() {
        var rounds = 0
        while (true) {
            delay(INTERVAL)
            val now = time.now()
            evaluateTargets(now)
            val summary = summary(now)
            health.onSummary(summary)
            delegate.publish(summary)
            if (++rounds % ROUNDS_PER_MINUTE == 0) refusals.rotate()
        }
    }

    /** Adjusts the weights of targets that perform worse than their pool. */
    private fun evaluateTargets(now: Instant) {
        val document = delegate.document()
        val samples = router.takeSamples().associateBy { it.target }
        document.models.forEach { model ->
            val targets = document.targetsOf(model.id).map { it.id }
            val detector = detectors.computeIfAbsent(model.id) { OutlierDetector(OPTIONS) }
            detector.retain(targets.toSet())
            val effects = detector.onSamples(targets.mapNotNull { samples[it] }, now)
            effects.forEach(::execute)
            degradedByModel[model.id] = detector.degraded()
        }
    }

    private fun execute(effect: OutlierEffect) {
        when (effect) {
            is OutlierEffect.SetWeight -> router.chooser.setWeight(effect.target, effect.weight)
            is OutlierEffect.Detected ->
                log.warn("target {} degraded: {}", effect.target, effect.reason)
            is OutlierEffect.Recovered -> log.info("target {} recovered", effect.target)
        }
    }

    private fun summary(now: Instant): DomainSummary {
        val document = delegate.document()
        val models = document.models.map { summary(it, document, now) }
        return DomainSummary(
            domain,
            now,
            models.filter { it.targets > 0 || it.floorTargets > 0 }
                .toImmutableList(),
        )
    }

    private fun summary(model: Model, document: DocumentView, now: Instant): ModelSummary {
        val own = document.targetsOf(model.id).filter { it.failureDomain == domain }
        val live = own.filter(delegate::acceptsWork)
        val weights = degradedTargets.associate { it.target to it.weight }
        return ModelSummary(
            model.id,
            live.size,
            if (own.isEmpty()) 0 else model.floorTargets,
            live.sumOf { it.batchSlots * (weights[it.id] ?: 1.0) },
            live.sumOf { used(it.id, now) }.toDouble(),
        )
    }

    private fun used(target: TargetId, now: Instant): Int {
        val load = loads.get(target, now - MAX_LOAD_AGE) ?: return router.inFlight(target)
        return load.running + load.waiting
    }

    private companion object {
        const val ROUNDS_PER_MINUTE = 6
        val INTERVAL = 10.seconds
        val MAX_LOAD_AGE = 10.seconds
        val OPTIONS = OutlierOptions(interval = INTERVAL)
        val log = LogManager.getLogger(FleetWatch::class.java)
    }
}
