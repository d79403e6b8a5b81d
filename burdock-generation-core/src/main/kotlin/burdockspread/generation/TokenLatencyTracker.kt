/** Time to first token and inter-token latency of each target and model. */
package burdockspread.generation

import burdockspread.id.ModelId
import burdockspread.id.TargetId
import kotlin.time.Duration

/** Moving estimates of the token latencies of targets. Thread-safe. */
public interface TokenLatencyTracker {
    /** Records the [time] from sending a request to its first token. */
    public fun recordTimeToFirstToken(target: TargetId, model: ModelId, time: Duration)

    /** Records the [time] between two tokens. */
    public fun recordInterTokenLatency(target: TargetId, model: ModelId, time: Duration)

    /**
     * Returns the expected time to the first token, or null before any was recorded for the
     * [model].
     */
    public fun expectedTimeToFirstToken(target: TargetId?, model: ModelId): Duration?

    /**
     * Returns the expected inter-token latency, or null before any was recorded for the [model].
     */
    public fun expectedInterTokenLatency(target: TargetId?, model: ModelId): Duration?

    /** Removes the estimates of all targets that are not in [targets]. */
    public fun retain(targets: Set<TargetId>)

    public companion object {
        /** Creates an empty tracker that keeps at most [maxPairs] pairs of target and model. */
        public operator fun invoke(maxPairs: Int = 16_384): TokenLatencyTracker =
            RealTokenLatencyTracker(maxPairs)
    }
}
