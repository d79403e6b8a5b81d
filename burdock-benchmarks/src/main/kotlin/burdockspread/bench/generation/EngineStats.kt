/** Statistics over many generations on failing engines. */
package burdockspread.bench.generation

import org.HdrHistogram.Histogram
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Statistics of one policy at one failure rate. */
internal class EngineStats {
    private val latency = Histogram(3)
    var generations = 0
    var completed = 0
    var losses = 0
    var delivered = 0L
    var extraAttempts = 0

    /** Prefix tokens that an engine prefilled again because of a failure. */
    var reprefilledTokens = 0L

    /** Tokens generated although another attempt had already generated them. */
    var duplicateTokens = 0L

    fun recordResume(after: Duration) = latency.recordValue(after.inWholeMilliseconds)

    val p50: Duration get() = latency.getValueAtPercentile(50.0).milliseconds
    val p99: Duration get() = latency.getValueAtPercentile(99.0).milliseconds

    val duplicatesPerToken: Double get() = duplicateTokens.toDouble() / delivered
    val reprefilledPerToken: Double get() = reprefilledTokens.toDouble() / delivered

    /** Extra attempts per request, counting the short requests that go with each long one. */
    val extraPerRequest: Double
        get() = extraAttempts.toDouble() / (generations * EngineModel.REQUESTS_PER_LONG)
    val extraPerLoss: Double get() = extraAttempts.toDouble() / losses.coerceAtLeast(1)
}
