/** Outlier detection: finds targets that perform worse than the rest of their pool. */
package burdockspread.health

import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Compares each target of one pool with the pool's median. Not thread-safe.
 *
 * If a whole pool degrades, its median moves along and no weight is reduced.
 */
public interface OutlierDetector {
    /**
     * Processes the samples since the last call and returns the resulting changes. Must be called
     * every [OutlierOptions.interval].
     */
    public fun onSamples(samples: List<TargetSample>, now: Instant): ImmutableList<OutlierEffect>

    /** Removes the state of all targets except [targets]. */
    public fun retain(targets: Set<TargetId>)

    /** Returns the targets that are currently classified as degraded. */
    public fun degraded(): ImmutableList<DegradedTarget>

    /** Creates [OutlierDetector] instances. */
    public companion object {
        /** Returns a detector for one pool. */
        public operator fun invoke(options: OutlierOptions = OutlierOptions()): OutlierDetector =
            RealOutlierDetector(options)
    }
}

/** Settings of outlier detection. */
public data class OutlierOptions(
    /** Interval between two calls of [OutlierDetector.onSamples]. */
    public val interval: Duration = 10.seconds,
    /** Age at which a sample has half its weight. */
    public val halfLife: Duration = 2.minutes,
    /** Fraction of the median's tokens per second below which a target is slow. */
    public val slowRatio: Double = 0.7,
    /** Multiple of the median's time to first token above which a target is late. */
    public val lateRatio: Double = 1.8,
    /** Distance from the median, in robust standard deviations, that is above the noise. */
    public val deviations: Double = 5.0,
    /** Minimum number of attempts needed to classify a target. */
    public val minAttempts: Double = 20.0,
    /** Factor applied to the weight of a degraded target on each call. */
    public val reductionFactor: Double = 0.8,
    /** Factor applied on each call to the weight of a target that performs normally again. */
    public val recoveryFactor: Double = 1.1,
    /** Weight of a target on probation, high enough to detect its recovery. */
    public val minWeight: Double = 0.05,
    /** Maximum fraction of the pool's total weight that may be removed. */
    public val maxReduction: Double = 0.3,
)

/** Criterion by which a target is worse than its pool. */
public enum class OutlierReason {
    /** Low rate of tokens per second. */
    SLOW,

    /** A long time to the first token, for example with a cold cache. */
    LATE,

    /** High error rate. */
    ERRORS,

    /** High rate of stalled requests. */
    STALLS,
}

/** A target whose weight is reduced, or about to be reduced, because it is an outlier. */
public data class DegradedTarget(
    public val target: TargetId,
    public val reason: OutlierReason,
    public val weight: Double,
    /** Time at which the target was first detected as an outlier. */
    public val since: Instant,
    /** Whether the target gets only the minimum share of requests. */
    public val probation: Boolean,
)

/** A change reported by an [OutlierDetector]. */
public sealed interface OutlierEffect {
    /** Target that the change is about. */
    public val target: TargetId

    /** The target has a new weight for target selection, from 0 to 1. */
    public data class SetWeight(override val target: TargetId, public val weight: Double) :
        OutlierEffect

    /** The target was detected as an outlier. */
    public data class Detected(override val target: TargetId, public val reason: OutlierReason) :
        OutlierEffect

    /** The target performs normally again and is back at full weight. */
    public data class Recovered(override val target: TargetId) : OutlierEffect
}
