/** Effects requested by a generation. */
package burdockspread.generation

import burdockspread.error.Refusal
import burdockspread.id.AttemptNumber
import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableSet

/** One effect of [Generation.handle]. Effects are executed in order. */
public sealed interface GenerationEffect {
    /**
     * Sends the request to an engine, with the tokens accepted so far as the prefix.
     *
     * @property maxTokens maximum number of tokens beyond the [prefix].
     * @property excludedTargets targets that failed this generation; used only if no other is left.
     * @property preferCachedPrefix whether a target that caches the prefix is preferred over a
     *   faster one.
     */
    public data class OpenAttempt(
        public val attempt: AttemptNumber,
        public val prefix: ImmutableList<String>,
        public val maxTokens: Int,
        public val excludedTargets: ImmutableSet<TargetId>,
        public val preferCachedPrefix: Boolean,
    ) : GenerationEffect

    /** Cancels the stream of an attempt; tokens that still arrive from it are dropped. */
    public data class CancelAttempt(public val attempt: AttemptNumber) : GenerationEffect

    /** Tokens were accepted and appended to the log, the first of them at [offset]. */
    public data class Accepted(public val offset: Int, public val tokens: ImmutableList<String>) :
        GenerationEffect

    /** The answer is complete. */
    public data class Complete(public val reason: FinishReason, public val totalTokens: Int) :
        GenerationEffect

    /** The generation ends without a complete answer. */
    public data class Fail(public val refusal: Refusal) : GenerationEffect
}
