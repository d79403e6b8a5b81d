/** Exponentially decaying sums of one target's samples. */
package burdockspread.health

internal class DecayingSums {
    var attempts = 0.0
        private set
    private var failures = 0.0
    private var stalls = 0.0
    private var firstTokens = 0.0
    private var firstTokenMillis = 0.0
    private var decodeTokens = 0.0
    private var decodeMillis = 0.0

    /** Multiplies all sums by [factor] and adds [sample]. */
    fun add(factor: Double, sample: TargetSample?) {
        attempts = attempts * factor + (sample?.attempts ?: 0)
        failures = failures * factor + (sample?.failures ?: 0)
        stalls = stalls * factor + (sample?.stalls ?: 0)
        firstTokens = firstTokens * factor + (sample?.firstTokens ?: 0)
        firstTokenMillis = firstTokenMillis * factor + (sample?.firstTokenMillis ?: 0)
        decodeTokens = decodeTokens * factor + (sample?.decodeTokens ?: 0)
        decodeMillis = decodeMillis * factor + (sample?.decodeMillis ?: 0)
    }

    /** Returns the tokens per millisecond, or null if there are too few samples. */
    fun tokensPerMillisecond(minAttempts: Double): Double? =
        if (firstTokens < minAttempts || decodeMillis <= 0) null else decodeTokens / decodeMillis

    /** Returns the mean time to first token in milliseconds, or null with too few samples. */
    fun meanFirstTokenMillis(minAttempts: Double): Double? =
        if (firstTokens < minAttempts) null else firstTokenMillis / firstTokens

    fun count(reason: OutlierReason): Double =
        if (reason == OutlierReason.STALLS) stalls else failures

    fun rate(reason: OutlierReason): Double = if (attempts > 0) count(reason) / attempts else 0.0
}
