/** Bounds retries and second attempts to a part of the first attempts of a target pool. */
package burdockspread.retry

import java.util.concurrent.atomic.AtomicLong

/** Permission for retries of one target pool. All functions may be called from several threads. */
public interface RetryBudget {
    /** Records a first attempt, which earns a part of a retry. */
    public fun onFirstAttempt()

    /** Takes permission for one retry or second attempt; false when the budget is spent. */
    public fun tryTake(): Boolean

    /** Makes budgets. */
    public companion object {
        /**
         * A budget of [fraction] retries for each first attempt, of which at most [capacity] are
         * kept for later. A new budget starts full.
         */
        public operator fun invoke(
            fraction: Double = DEFAULT_FRACTION,
            capacity: Int = DEFAULT_CAPACITY,
        ): RetryBudget = RealRetryBudget(fraction, capacity)

        /** Part of the first attempts that may be tried again. */
        public const val DEFAULT_FRACTION: Double = 0.1

        /** Retries that may come at once after a quiet time. */
        public const val DEFAULT_CAPACITY: Int = 20
    }
}

/** Keeps the balance in thousandths of a retry in one atomic. */
internal class RealRetryBudget(fraction: Double, capacity: Int) : RetryBudget {
    private val earned = (fraction * ONE_RETRY).toLong()
    private val most = capacity * ONE_RETRY
    private val balance = AtomicLong(most)

    override fun onFirstAttempt() {
        balance.updateAndGet { minOf(it + earned, most) }
    }

    override fun tryTake(): Boolean {
        while (true) {
            val before = balance.get()
            if (before < ONE_RETRY) return false
            if (balance.compareAndSet(before, before - ONE_RETRY)) return true
        }
    }

    private companion object {
        const val ONE_RETRY = 1_000L
    }
}
