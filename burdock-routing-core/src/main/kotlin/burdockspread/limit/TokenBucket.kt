/** Lock-free token bucket with a variable rate. */
package burdockspread.limit

import java.util.concurrent.atomic.AtomicReference

/**
 * Token bucket whose fill rate is passed with each call, so that a changed share takes effect
 * immediately.
 *
 * The level can become negative when tokens are charged after use.
 */
internal class TokenBucket {
    private val state = AtomicReference(State(Double.NaN, 0))

    /** Takes [amount] tokens if the bucket holds at least [needed]. */
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

    /** Charges [amount] tokens after use, or refunds them if negative. */
    fun charge(amount: Double) {
        state.updateAndGet { State(it.level - amount, it.atMillis) }
    }

    /** Returns the milliseconds until the bucket holds [needed] tokens at [rate]. */
    fun millisUntil(needed: Double, rate: Double, capacity: Double, nowMillis: Long): Long {
        val deficit = needed - state.get().levelAt(rate, capacity, nowMillis)
        if (deficit <= 0) return 0
        if (rate <= 0) return MAX_WAIT_MILLIS
        return (deficit / rate * MILLIS_PER_SECOND).toLong().coerceIn(1, MAX_WAIT_MILLIS)
    }

    private class State(val level: Double, val atMillis: Long) {
        fun levelAt(rate: Double, capacity: Double, nowMillis: Long): Double {
            if (level.isNaN()) return capacity
            val elapsed = maxOf(nowMillis - atMillis, 0) / MILLIS_PER_SECOND
            return minOf(level + elapsed * rate, capacity)
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val MAX_WAIT_MILLIS = 60_000L
    }
}
