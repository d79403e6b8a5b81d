/** Default implementation of [OutlierDetector], which adjusts weights gradually. */
package burdockspread.health

import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import kotlin.math.pow
import kotlin.time.Instant

internal class RealOutlierDetector(private val options: OutlierOptions) : OutlierDetector {
    private val targets = LinkedHashMap<TargetId, WeightState>()
    private val decayFactor = HALF.pow(options.interval / options.halfLife)

    override fun onSamples(
        samples: List<TargetSample>,
        now: Instant,
    ): ImmutableList<OutlierEffect> {
        val samplesByTarget = samples.groupBy { it.target }
            .mapValues { (_, samplesOfTarget) -> samplesOfTarget.reduce(TargetSample::plus) }
        samplesByTarget.keys.forEach { targets.getOrPut(it) { WeightState(it) } }
        targets.values.forEach { it.sums.add(decayFactor, samplesByTarget[it.target]) }
        val baseline = PoolBaseline(targets.values.map { it.sums }, options)
        return persistentListOf<OutlierEffect>().mutate { effects ->
            targets.values.forEach { it.evaluate(baseline, now, effects) }
        }
    }

    override fun retain(targets: Set<TargetId>) {
        this.targets.keys.retainAll(targets)
    }

    override fun degraded(): ImmutableList<DegradedTarget> = targets.values
        .mapNotNull { it.toDegradedTarget() }
        .toImmutableList()

    private fun canLower(): Boolean {
        val reduction = targets.values.sumOf { 1 - it.weight }
        return targets.size > 1 && reduction < options.maxReduction * targets.size
    }

    private inner class WeightState(val target: TargetId) {
        val sums = DecayingSums()
        var weight = 1.0
        private var reason: OutlierReason? = null
        private var since = Instant.DISTANT_PAST

        fun evaluate(baseline: PoolBaseline, now: Instant, effects: MutableList<OutlierEffect>) {
            val found = baseline.outlierReason(sums)
            if (found == null) {
                recover(effects)
                return
            }
            if (reason == null) {
                since = now
                effects += OutlierEffect.Detected(target, found)
            }
            reason = found
            if (canLower()) set(maxOf(weight * options.reductionFactor, options.minWeight), effects)
        }

        fun toDegradedTarget(): DegradedTarget? = reason?.let {
            DegradedTarget(target, it, weight, since, weight <= options.minWeight)
        }

        private fun recover(effects: MutableList<OutlierEffect>) {
            if (reason == null) return
            set(minOf(weight * options.recoveryFactor, 1.0), effects)
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
