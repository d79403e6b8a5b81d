/** Counts what is seen of a target between two readings. */
package burdockspread.route

import burdockspread.health.TargetSample
import burdockspread.id.TargetId
import java.util.concurrent.atomic.AtomicLongArray

/** Sums in atomics. A reading takes them and starts anew. */
internal class SampleCounters {
    private val sums = AtomicLongArray(FIELDS)

    fun failed(stalled: Boolean) {
        sums.incrementAndGet(ATTEMPTS)
        sums.incrementAndGet(if (stalled) STALLS else FAILURES)
    }

    fun done() {
        sums.incrementAndGet(ATTEMPTS)
    }

    fun firstToken(millis: Long) {
        sums.incrementAndGet(FIRST_TOKENS)
        sums.addAndGet(FIRST_TOKEN_MILLIS, millis)
    }

    fun decoded(tokens: Long, millis: Long) {
        sums.addAndGet(DECODE_TOKENS, tokens)
        sums.addAndGet(DECODE_MILLIS, millis)
    }

    /** The sums since the last reading, or null when nothing was seen. */
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
        const val FIELDS = 7
        const val ATTEMPTS = 0
        const val FAILURES = 1
        const val STALLS = 2
        const val FIRST_TOKENS = 3
        const val FIRST_TOKEN_MILLIS = 4
        const val DECODE_TOKENS = 5
        const val DECODE_MILLIS = 6
    }
}
