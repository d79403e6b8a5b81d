/** Observes what an entry host does. */
package burdockspread.observe

import burdockspread.error.Refusal
import burdockspread.generation.DropReason
import burdockspread.id.AttemptNumber
import burdockspread.id.GenerationId
import burdockspread.id.OrganisationId
import burdockspread.id.RequestId
import burdockspread.id.TargetId
import kotlin.time.Duration

/** Names of one generation, for logs. */
public data class GenerationTag(
    public val organisation: OrganisationId,
    public val request: RequestId,
    public val generation: GenerationId,
    public val model: String,
)

/** Observes requests, generations and calls. Calls come from many threads. */
public interface EntryListener {
    /** A request was refused before it was served. */
    public fun refused(request: RequestId, organisation: OrganisationId?, refusal: Refusal) {}

    /** An attempt was sent to [target] with a prefix of [prefixTokens]. */
    public fun attemptOpened(
        tag: GenerationTag,
        attempt: AttemptNumber,
        target: TargetId,
        prefixTokens: Int,
    ) {}

    /** An attempt failed with [cause]. */
    public fun attemptFailed(
        tag: GenerationTag,
        attempt: AttemptNumber,
        target: TargetId?,
        cause: String,
    ) {}

    /** Tokens of an attempt were dropped. */
    public fun tokensDropped(
        tag: GenerationTag,
        attempt: AttemptNumber,
        reason: DropReason,
        tokens: Int,
    ) {}

    /** The first token came [after] the request. */
    public fun firstToken(tag: GenerationTag, after: Duration) {}

    /** Output went on [after] the last token before an attempt was lost, at token [offset]. */
    public fun resumed(tag: GenerationTag, after: Duration, offset: Int) {}

    /** A generation ended whole, or with [refusal]. */
    public fun generationEnded(tag: GenerationTag, attempts: Int, tokens: Int, refusal: Refusal?) {}

    /** A call to a plain service ended with [outcome]. */
    public fun callEnded(
        request: RequestId,
        organisation: OrganisationId,
        call: String,
        target: TargetId?,
        outcome: String,
    ) {}

    public companion object {
        /** Observes nothing. */
        public val NONE: EntryListener = object : EntryListener {}
    }
}
