/** What was counted over many generations on failing engines. */
package burdockspread.bench.generation

import org.HdrHistogram.Histogram
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Counts of one cell of the comparison. */
internal class EngineStats {
    private val latency = Histogram(3)
    var generations = 0
    var completed = 0
    var losses = 0
    var delivered = 0L
    var extraAttempts = 0

    /** Prefix tokens that an engine read again because of a loss. */
    var readAgain = 0L

    /** Tokens generated again although another attempt had generated them. */
    var generatedTwice = 0L

    fun resumed(after: Duration) = latency.recordValue(after.inWholeMilliseconds)

    val p50: Duration get() = latency.getValueAtPercentile(50.0).milliseconds
    val p99: Duration get() = latency.getValueAtPercentile(99.0).milliseconds

    val generatedTwicePerToken: Double get() = generatedTwice.toDouble() / delivered
    val readAgainPerToken: Double get() = readAgain.toDouble() / delivered

    /** Extra attempts for each request, the short ones that the long ones stand for included. */
    val extraPerRequest: Double
        get() = extraAttempts.toDouble() / (generations * EngineModel.GENERATIONS_PER_LONG)
    val extraPerLoss: Double get() = extraAttempts.toDouble() / losses.coerceAtLeast(1)
}
