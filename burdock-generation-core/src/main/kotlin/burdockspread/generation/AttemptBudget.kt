/** The bound on attempts beyond the first. */
package burdockspread.generation

/** Bounds extra attempts over all generations of a target pool, so that retries cannot flood it. */
public fun interface AttemptBudget {
    /** Takes one extra attempt from the budget; false when it is spent. */
    public fun tryAcquire(): Boolean
}
