/** The life of one generation over the attempts that it takes. */
package burdockspread.generation

import kotlin.time.Instant

/**
 * One open generation, driven by a single thread.
 *
 * A token enters the [tokens] only from a current attempt and only at the next offset, so the log
 * never has a gap or a repeat, and continues with the attempt whose prefix it was.
 */
public interface Generation {
    /** The accepted tokens, also those that the generation began with. */
    public val tokens: TokenLog

    /** Whether the generation has completed, failed or been cancelled. */
    public val isClosed: Boolean

    /** Reacts to [input] and returns what the shell has to do, in order. */
    public fun handle(input: GenerationInput, now: Instant): List<GenerationEffect>

    /** Time at which [GenerationInput.Tick] is due, or null while there is none. */
    public fun nextDeadline(): Instant?

    public companion object {
        /** Creates a generation that goes on after [tokens], the empty log for a fresh one. */
        public operator fun invoke(
            spec: GenerationSpec,
            budget: AttemptBudget,
            times: TokenLatencyTracker,
            tokens: TokenLog = TokenLog(),
            listener: GenerationListener = GenerationListener.None,
        ): Generation = RealGeneration(spec, budget, times, tokens, listener)
    }
}
