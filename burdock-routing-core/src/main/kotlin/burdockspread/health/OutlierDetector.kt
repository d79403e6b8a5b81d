/** Finds targets that quietly get worse than the rest of their pool. */
package burdockspread.health

import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Compares each target of one pool with the pool's median. One thread at a time.
 *
 * A pool that gets worse as a whole changes its median and cuts no weight.
 */
public interface OutlierDetector {
    /**
     * Takes the samples since the last call and returns the weights that change. To be called
     * every [OutlierOptions.interval].
     */
    public fun onSamples(samples: List<TargetSample>, now: Instant): ImmutableList<OutlierEffect>

    /** Forgets targets that are not in [targets]. */
    public fun retain(targets: Set<TargetId>)

    /** Targets whose weight is cut now. */
    public fun degraded(): ImmutableList<DegradedTarget>

    /** Makes detectors. */
    public companion object {
        /** A detector for one pool. */
        public operator fun invoke(options: OutlierOptions = OutlierOptions()): OutlierDetector =
            RealOutlierDetector(options)
    }
}

/** Settings of the search for quiet decay. */
public data class OutlierOptions(
    /** Time between two calls with samples. */
    public val interval: Duration = 10.seconds,
    /** Age at which a sample counts half. */
    public val halfLife: Duration = 2.minutes,
    /** A target with less than this part of the median's tokens per second is slow. */
    public val slowRatio: Double = 0.7,
    /** A target with more than this multiple of the median's time to first token is late. */
    public val lateRatio: Double = 1.8,
    /** Distance from the median, in robust standard deviations, that noise does not reach. */
    public val deviations: Double = 5.0,
    /** Attempts that a judgement needs. */
    public val minAttempts: Double = 20.0,
    /** Factor on the weight of a bad target at each call. */
    public val cutStep: Double = 0.8,
    /** Factor on the weight of a target that is good again. */
    public val raiseStep: Double = 1.1,
    /** Weight of a target on probation: enough to see whether it recovers. */
    public val probationWeight: Double = 0.05,
    /** Largest part of the pool's weight that may be cut. */
    public val maxCut: Double = 0.3,
)

/** In what a target is worse than its pool. */
public enum class OutlierReason {
    /** Few tokens per second. */
    SLOW,

    /** A long time to the first token, for example with a cold cache. */
    LATE,

    /** Many errors. */
    ERRORS,

    /** Requests that go silent. */
    STALLS,
}

/** A target with less than its full weight. */
public data class DegradedTarget(
    public val target: TargetId,
    public val reason: OutlierReason,
    public val weight: Double,
    /** When it was first seen to be worse. */
    public val since: Instant,
    /** Whether it gets no more than a trickle of work. */
    public val probation: Boolean,
)

/** A change that the detector asks for. */
public sealed interface OutlierEffect {
    /** Target of the change. */
    public val target: TargetId

    /** New weight of the target in target choice, from 0 to 1. */
    public data class SetWeight(override val target: TargetId, public val weight: Double) :
        OutlierEffect

    /** The target was found to be worse than its pool. */
    public data class Detected(override val target: TargetId, public val reason: OutlierReason) :
        OutlierEffect

    /** The target is good again and has its full weight back. */
    public data class Recovered(override val target: TargetId) : OutlierEffect
}
