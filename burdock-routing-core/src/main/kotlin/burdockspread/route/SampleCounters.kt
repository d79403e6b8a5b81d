/** Counters of the attempts at one target between two readings. */
package burdockspread.route

import burdockspread.health.TargetSample
import burdockspread.id.TargetId
import java.util.concurrent.atomic.AtomicLongArray

/** Lock-free sums that [take] reads and resets. */
internal class SampleCounters {
    private val sums = AtomicLongArray(FIELD_COUNT)

    fun onFailed(stalled: Boolean) {
        sums.incrementAndGet(ATTEMPTS)
        sums.incrementAndGet(if (stalled) STALLS else FAILURES)
    }

    fun onDone() {
        sums.incrementAndGet(ATTEMPTS)
    }

    fun onFirstToken(millis: Long) {
        sums.incrementAndGet(FIRST_TOKENS)
        sums.addAndGet(FIRST_TOKEN_MILLIS, millis)
    }

    fun onDecoded(tokens: Long, millis: Long) {
        sums.addAndGet(DECODE_TOKENS, tokens)
        sums.addAndGet(DECODE_MILLIS, millis)
    }

    /** Returns the sums since the last call and resets them; null if there were no attempts. */
    fun take(target: TargetId): TargetSample? {
        val attempts = sums.getAndSet(ATTEMPTS, 0)
        val firstTokens = sums.getAndSet(FIRST_TOKENS, 0)
        if (attempts == 0L && firstTokens == 0L) return null
        return TargetSample(
            target = target,
            attempts = attempts,
            failures = sums.getAndSet(FAILURES, 0),
            stalls = sums.getAndSet(STALLS, 0),
            firstTokens = firstTokens,
            firstTokenMillis = sums.getAndSet(FIRST_TOKEN_MILLIS, 0),
            decodeTokens = sums.getAndSet(DECODE_TOKENS, 0),
            decodeMillis = sums.getAndSet(DECODE_MILLIS, 0),
        )
    }

    private companion object {
        const val FIELD_COUNT = 7
        const val ATTEMPTS = 0
        const val FAILURES = 1
        const val STALLS = 2
        const val FIRST_TOKENS = 3
        const val FIRST_TOKEN_MILLIS = 4
        const val DECODE_TOKENS = 5
        const val DECODE_MILLIS = 6
    }
}
