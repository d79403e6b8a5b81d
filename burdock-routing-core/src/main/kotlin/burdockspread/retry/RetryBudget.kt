/** Retry budget: bounds further attempts to a fraction of the first attempts of a pool. */
package burdockspread.retry

import java.util.concurrent.atomic.AtomicLong

/** Budget for the retries of one target pool. Thread-safe. */
public interface RetryBudget {
    /** Records a first attempt, which adds a fraction of a retry to the budget. */
    public fun onFirstAttempt()

    /** Takes one retry or second attempt from the budget. Returns false if it is exhausted. */
    public fun tryAcquire(): Boolean

    /** Returns a retry that was taken with [tryAcquire] and not made. */
    public fun release()

    /** Changes the largest number of retries that accumulate; what exceeds it is lost. */
    public fun resize(capacity: Int) {}

    /** Creates [RetryBudget] instances. */
    public companion object {
        /**
         * Returns a budget of [fraction] retries per first attempt that accumulates at most
         * [capacity] retries. A new budget starts full.
         */
        public operator fun invoke(
            fraction: Double = DEFAULT_FRACTION,
            capacity: Int = DEFAULT_CAPACITY,
        ): RetryBudget = RealRetryBudget(fraction, capacity)

        /** Default number of retries per first attempt. */
        public const val DEFAULT_FRACTION: Double = 0.1

        /** Default size of a burst of retries. */
        public const val DEFAULT_CAPACITY: Int = 20
    }
}

/** Keeps the balance in thousandths of a retry in one atomic. */
internal class RealRetryBudget(fraction: Double, capacity: Int) : RetryBudget {
    private val creditPerAttempt = (fraction * ONE_RETRY).toLong()

    @Volatile
    private var maxBalance = capacity * ONE_RETRY
    private val balance = AtomicLong(maxBalance)

    override fun onFirstAttempt() {
        balance.updateAndGet { minOf(it + creditPerAttempt, maxBalance) }
    }

    override fun tryAcquire(): Boolean {
        while (true) {
            val before = balance.get()
            if (before < ONE_RETRY) return false
            if (balance.compareAndSet(before, before - ONE_RETRY)) return true
        }
    }

    override fun release() {
        balance.updateAndGet { minOf(it + ONE_RETRY, maxBalance) }
    }

    override fun resize(capacity: Int) {
        maxBalance = capacity * ONE_RETRY
        balance.updateAndGet { minOf(it, maxBalance) }
    }

    private companion object {
        const val ONE_RETRY = 1_000L
    }
}
