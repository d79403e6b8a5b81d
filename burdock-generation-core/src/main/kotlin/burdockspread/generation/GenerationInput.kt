/** Inputs of a generation. */
package burdockspread.generation

import burdockspread.id.AttemptNumber
import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableList

/** One input of [Generation.handle]. */
public sealed interface GenerationInput {
    /** Starts the first attempt. */
    public data object Start : GenerationInput

    /** The [target] of an attempt was selected and the request is being sent to it. */
    public data class Opened(public val attempt: AttemptNumber, public val target: TargetId) :
        GenerationInput

    /** An engine delivered [tokens], the first of them at [offset] of the whole answer. */
    public data class Tokens(
        public val attempt: AttemptNumber,
        public val offset: Int,
        public val tokens: ImmutableList<String>,
    ) : GenerationInput

    /**
     * An engine ended its stream.
     *
     * @property reason null when the stream ended without one.
     * @property totalTokens length of the whole answer as counted by the engine, including the
     *   prefix.
     */
    public data class Finished(
        public val attempt: AttemptNumber,
        public val reason: FinishReason?,
        public val totalTokens: Int,
    ) : GenerationInput

    /** An attempt failed. */
    public data class Failed(public val attempt: AttemptNumber, public val cause: FailureCause) :
        GenerationInput

    /** The time of [Generation.nextDeadline] has been reached. */
    public data object Tick : GenerationInput

    /** The [target] is about to stop; a generation that runs on it migrates to another target. */
    public data class TargetDraining(public val target: TargetId) : GenerationInput

    /** The rest is no longer wanted, or another host continues the generation. */
    public data object Cancel : GenerationInput
}
