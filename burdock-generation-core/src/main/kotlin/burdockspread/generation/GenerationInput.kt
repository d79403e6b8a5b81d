/** Events that a generation reacts to. */
package burdockspread.generation

import burdockspread.id.AttemptNumber
import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableList

/** One event for [Generation.handle]. */
public sealed interface GenerationInput {
    /** Begins the first attempt. */
    public data object Start : GenerationInput

    /** The [target] of an attempt was chosen and the request is being sent to it. */
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
     * @property totalTokens length of the whole answer by the engine's count, prefix included.
     */
    public data class Finished(
        public val attempt: AttemptNumber,
        public val reason: FinishReason?,
        public val totalTokens: Int,
    ) : GenerationInput

    /** An attempt failed. */
    public data class Failed(public val attempt: AttemptNumber, public val cause: FailureCause) :
        GenerationInput

    /** The time of [Generation.nextDeadline] has come. */
    public data object Tick : GenerationInput

    /** The [target] is about to stop; a generation that runs on it goes on elsewhere. */
    public data class TargetDraining(public val target: TargetId) : GenerationInput

    /** Nobody wants the rest, or another host goes on with it. */
    public data object Cancel : GenerationInput
}
