/** A token bucket whose rate may change, without locks. */
package burdockspread.limit

import java.util.concurrent.atomic.AtomicReference

/**
 * A bucket that fills at a rate given with each call, so that a changed share counts at once.
 *
 * The level may fall below zero when tokens are charged after the fact.
 */
internal class TokenBucket {
    private val state = AtomicReference(State(Double.NaN, 0))

    /** Takes [amount] if the bucket holds at least [needed]. */
    fun tryTake(
        amount: Double,
        needed: Double,
        rate: Double,
        capacity: Double,
        nowMillis: Long,
    ): Boolean {
        while (true) {
            val before = state.get()
            val level = before.levelAt(rate, capacity, nowMillis)
            if (level < needed) return false
            val after = State(level - amount, maxOf(nowMillis, before.atMillis))
            if (state.compareAndSet(before, after)) return true
        }
    }

    /** Charges [amount] after the fact, or gives it back when negative. */
    fun charge(amount: Double) {
        state.updateAndGet { State(it.level - amount, it.atMillis) }
    }

    /** Milliseconds until the bucket holds [needed], at [rate]. */
    fun millisUntil(needed: Double, rate: Double, capacity: Double, nowMillis: Long): Long {
        val missing = needed - state.get().levelAt(rate, capacity, nowMillis)
        if (missing <= 0) return 0
        if (rate <= 0) return MAX_WAIT_MILLIS
        return (missing / rate * MILLIS).toLong().coerceIn(1, MAX_WAIT_MILLIS)
    }

    private class State(val level: Double, val atMillis: Long) {
        fun levelAt(rate: Double, capacity: Double, nowMillis: Long): Double {
            if (level.isNaN()) return capacity
            val elapsed = maxOf(nowMillis - atMillis, 0) / MILLIS
            return minOf(level + elapsed * rate, capacity)
        }
    }

    private companion object {
        const val MILLIS = 1_000.0
        const val MAX_WAIT_MILLIS = 60_000L
    }
}
