/** Keeps an estimate for each pair of target and model, and one for each model. */
package burdockspread.generation

import burdockspread.id.ModelId
import burdockspread.id.TargetId
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/**
 * Estimates in a concurrent map. A target's estimate counts for at most [MODEL_FACTOR] times that
 * of its model, so that a target that slows down does not raise its own limit without bound.
 */
internal class RealTokenLatencyTracker(private val maxPairs: Int) : TokenLatencyTracker {
    private val pairs = ConcurrentHashMap<TargetModel, LatencyEstimates>()
    private val models = ConcurrentHashMap<ModelId, LatencyEstimates>()

    override fun recordTimeToFirstToken(target: TargetId, model: ModelId, time: Duration) {
        pairEstimates(target, model)?.timeToFirstToken?.record(time)
        modelEstimates(model).timeToFirstToken.record(time)
    }

    override fun recordInterTokenLatency(target: TargetId, model: ModelId, time: Duration) {
        pairEstimates(target, model)?.interTokenLatency?.record(time)
        modelEstimates(model).interTokenLatency.record(time)
    }

    override fun expectedTimeToFirstToken(target: TargetId?, model: ModelId): Duration? =
        expected(target, model) { it.timeToFirstToken }

    override fun expectedInterTokenLatency(target: TargetId?, model: ModelId): Duration? =
        expected(target, model) { it.interTokenLatency }

    override fun retain(targets: Set<TargetId>) {
        pairs.keys.removeIf { it.target !in targets }
    }

    private inline fun expected(
        target: TargetId?,
        model: ModelId,
        select: (LatencyEstimates) -> LatencyEstimate,
    ): Duration? {
        val modelEstimate = models[model]?.let { select(it).expected() } ?: return null
        val targetEstimate =
            target?.let { pairs[TargetModel(it, model)] }?.let { select(it).expected() }
        return targetEstimate?.coerceAtMost(modelEstimate * MODEL_FACTOR) ?: modelEstimate
    }

    private fun pairEstimates(target: TargetId, model: ModelId): LatencyEstimates? {
        val key = TargetModel(target, model)
        val found = pairs[key]
        if (found != null || pairs.size >= maxPairs) return found
        return pairs.computeIfAbsent(key) { LatencyEstimates(TARGET_WINDOW) }
    }

    private fun modelEstimates(model: ModelId): LatencyEstimates = models.computeIfAbsent(model) {
        LatencyEstimates(MODEL_WINDOW)
    }

    private data class TargetModel(val target: TargetId, val model: ModelId)

    private class LatencyEstimates(window: Int) {
        val timeToFirstToken = LatencyEstimate(window)
        val interTokenLatency = LatencyEstimate(window)
    }

    private companion object {
        const val MODEL_FACTOR = 3
        const val TARGET_WINDOW = 32
        const val MODEL_WINDOW = 255
    }
}
