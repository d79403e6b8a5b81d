/** The usual times to and between tokens of each target and model. */
package burdockspread.generation

import burdockspread.id.ModelId
import burdockspread.id.TargetId
import kotlin.time.Duration

/** Learns the usual times of targets. Safe for use by many threads. */
public interface TokenLatencyTracker {
    /** Records the [time] from sending a request to its first token. */
    public fun recordTimeToFirstToken(target: TargetId, model: ModelId, time: Duration)

    /** Records the [time] between two tokens. */
    public fun recordInterTokenLatency(target: TargetId, model: ModelId, time: Duration)

    /** Usual time to the first token, or null before any was seen of the [model]. */
    public fun expectedTimeToFirstToken(target: TargetId?, model: ModelId): Duration?

    /** Usual time between tokens, or null before any was seen of the [model]. */
    public fun expectedInterTokenLatency(target: TargetId?, model: ModelId): Duration?

    /** Forgets targets that are not in [targets]. */
    public fun retain(targets: Set<TargetId>)

    public companion object {
        /** Creates an empty recorder that keeps at most [maxPairs] pairs of target and model. */
        public operator fun invoke(maxPairs: Int = 16_384): TokenLatencyTracker =
            RealTokenLatencyTracker(maxPairs)
    }
}
