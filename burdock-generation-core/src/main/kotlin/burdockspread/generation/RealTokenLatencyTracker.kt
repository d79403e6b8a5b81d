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
    private val pairs = ConcurrentHashMap<TargetModel, Times>()
    private val models = ConcurrentHashMap<ModelId, Times>()

    override fun recordTimeToFirstToken(target: TargetId, model: ModelId, time: Duration) {
        ofPair(target, model)?.first?.record(time)
        ofModel(model).first.record(time)
    }

    override fun recordInterTokenLatency(target: TargetId, model: ModelId, time: Duration) {
        ofPair(target, model)?.between?.record(time)
        ofModel(model).between.record(time)
    }

    override fun expectedTimeToFirstToken(target: TargetId?, model: ModelId): Duration? =
        usual(target, model) { it.first }

    override fun expectedInterTokenLatency(target: TargetId?, model: ModelId): Duration? =
        usual(target, model) { it.between }

    override fun retain(targets: Set<TargetId>) {
        pairs.keys.removeIf { it.target !in targets }
    }

    private inline fun usual(
        target: TargetId?,
        model: ModelId,
        part: (Times) -> TimeEstimate,
    ): Duration? {
        val ofModel = models[model]?.let { part(it).usual() } ?: return null
        val own = target?.let { pairs[TargetModel(it, model)] }?.let { part(it).usual() }
        return own?.coerceAtMost(ofModel * MODEL_FACTOR) ?: ofModel
    }

    private fun ofPair(target: TargetId, model: ModelId): Times? {
        val key = TargetModel(target, model)
        val found = pairs[key]
        if (found != null || pairs.size >= maxPairs) return found
        return pairs.computeIfAbsent(key) { Times(TARGET_WINDOW) }
    }

    private fun ofModel(model: ModelId): Times = models.computeIfAbsent(model) {
        Times(MODEL_WINDOW)
    }

    private data class TargetModel(val target: TargetId, val model: ModelId)

    private class Times(window: Int) {
        val first = TimeEstimate(window)
        val between = TimeEstimate(window)
    }

    private companion object {
        const val MODEL_FACTOR = 3
        const val TARGET_WINDOW = 32
        const val MODEL_WINDOW = 255
    }
}
