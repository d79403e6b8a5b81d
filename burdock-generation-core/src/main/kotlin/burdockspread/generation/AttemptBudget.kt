/** Budget for attempts beyond the first. */
package burdockspread.generation

/**
 * Bounds extra attempts across all generations of a target pool, so that retries cannot overload
 * it.
 */
public fun interface AttemptBudget {
    /** Takes one extra attempt from the budget. Returns false when the budget is exhausted. */
    public fun tryAcquire(): Boolean
}
