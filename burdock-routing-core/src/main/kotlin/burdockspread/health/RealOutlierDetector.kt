/** Gradual cuts of weight for targets that are worse than their pool. */
package burdockspread.health

import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import kotlin.math.pow
import kotlin.time.Instant

internal class RealOutlierDetector(private val options: OutlierOptions) : OutlierDetector {
    private val targets = LinkedHashMap<TargetId, State>()
    private val fade = HALF.pow(options.interval / options.halfLife)

    override fun onSamples(
        samples: List<TargetSample>,
        now: Instant,
    ): ImmutableList<OutlierEffect> {
        val byTarget = samples.groupBy { it.target }
            .mapValues { (_, list) -> list.reduce(TargetSample::plus) }
        byTarget.keys.forEach { targets.getOrPut(it) { State(it) } }
        targets.values.forEach { it.window.add(fade, byTarget[it.target]) }
        val baseline = PoolBaseline(targets.values.map { it.window }, options)
        return persistentListOf<OutlierEffect>().mutate { effects ->
            targets.values.forEach { it.judge(baseline, now, effects) }
        }
    }

    override fun retain(targets: Set<TargetId>) {
        this.targets.keys.retainAll(targets)
    }

    override fun degraded(): ImmutableList<DegradedTarget> = targets.values
        .mapNotNull { it.asCut() }
        .toImmutableList()

    private fun mayCut(): Boolean {
        val cut = targets.values.sumOf { 1 - it.weight }
        return targets.size > 1 && cut < options.maxCut * targets.size
    }

    private inner class State(val target: TargetId) {
        val window = DecayWindow()
        var weight = 1.0
        private var reason: OutlierReason? = null
        private var since = Instant.DISTANT_PAST

        fun judge(baseline: PoolBaseline, now: Instant, effects: MutableList<OutlierEffect>) {
            val found = baseline.judge(window)
            if (found == null) {
                raise(effects)
                return
            }
            if (reason == null) {
                since = now
                effects += OutlierEffect.Detected(target, found)
            }
            reason = found
            if (mayCut()) set(maxOf(weight * options.cutStep, options.probationWeight), effects)
        }

        fun asCut(): DegradedTarget? = reason?.let {
            DegradedTarget(target, it, weight, since, weight <= options.probationWeight)
        }

        private fun raise(effects: MutableList<OutlierEffect>) {
            if (reason == null) return
            set(minOf(weight * options.raiseStep, 1.0), effects)
            if (weight < 1.0) return
            reason = null
            effects += OutlierEffect.Recovered(target)
        }

        private fun set(value: Double, effects: MutableList<OutlierEffect>) {
            if (value == weight) return
            weight = value
            effects += OutlierEffect.SetWeight(target, value)
        }
    }

    private companion object {
        const val HALF = 0.5
    }
}
