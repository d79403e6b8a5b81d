/** Life cycle of one generation across its attempts. */
package burdockspread.generation

import kotlin.time.Instant

/**
 * One open generation, driven by a single thread.
 *
 * A token enters the [tokens] only from an active attempt and only at the next offset, so the log
 * has no gaps or duplicates, and every attempt continues the prefix that it was given.
 */
public interface Generation {
    /** The accepted tokens, including those that the generation started with. */
    public val tokens: TokenLog

    /** Whether the generation has completed, failed or been cancelled. */
    public val isClosed: Boolean

    /** Handles [input] and returns the effects that the caller must execute, in order. */
    public fun handle(input: GenerationInput, now: Instant): List<GenerationEffect>

    /** Returns the time at which [GenerationInput.Tick] is due, or null when there is none. */
    public fun nextDeadline(): Instant?

    public companion object {
        /**
         * Creates a generation that continues after [tokens]; the log is empty for a new
         * generation.
         */
        public operator fun invoke(
            spec: GenerationSpec,
            budget: AttemptBudget,
            times: TokenLatencyTracker,
            tokens: TokenLog = TokenLog(),
            listener: GenerationListener = GenerationListener.None,
        ): Generation = RealGeneration(spec, budget, times, tokens, listener)
    }
}
