/** Events of an entry host. */
package burdockspread.observe

import burdockspread.error.Refusal
import burdockspread.generation.DropReason
import burdockspread.id.AttemptNumber
import burdockspread.id.GenerationId
import burdockspread.id.OrganisationId
import burdockspread.id.RequestId
import burdockspread.id.TargetId
import kotlin.time.Duration

/** Identifiers of a generation for logs and metrics. */
public data class GenerationTag(
    public val organisation: OrganisationId,
    public val request: RequestId,
    public val generation: GenerationId,
    public val model: String,
)

/** Listener for the events of requests, generations and calls. Called from many threads. */
public interface EntryListener {
    /** Called when a request was rejected. */
    public fun onRefused(request: RequestId, organisation: OrganisationId?, refusal: Refusal) {}

    /** Called when an attempt was sent to [target] with a prefix of [prefixTokens] tokens. */
    public fun onAttemptOpened(
        tag: GenerationTag,
        attempt: AttemptNumber,
        target: TargetId,
        prefixTokens: Int,
    ) {}

    /** Called when an attempt failed with [cause]. */
    public fun onAttemptFailed(
        tag: GenerationTag,
        attempt: AttemptNumber,
        target: TargetId?,
        cause: String,
    ) {}

    /** Called when tokens of an attempt were discarded. */
    public fun onAttemptTokensDropped(
        tag: GenerationTag,
        attempt: AttemptNumber,
        reason: DropReason,
        tokens: Int,
    ) {}

    /** Called when the first token arrived, [latency] after the request. */
    public fun onFirstToken(tag: GenerationTag, latency: Duration) {}

    /** Called when output resumed at [offset], [latency] after a lost attempt's last token. */
    public fun onResumed(tag: GenerationTag, latency: Duration, offset: Int) {}

    /** Called when a generation completed, or ended with [refusal]. */
    public fun onGenerationEnded(
        tag: GenerationTag,
        attempts: Int,
        tokens: Int,
        refusal: Refusal?,
    ) {}

    /** Called when a call to a plain service ended with [outcome]. */
    public fun onCallEnded(
        request: RequestId,
        organisation: OrganisationId,
        call: String,
        target: TargetId?,
        outcome: String,
    ) {}

    public companion object {
        /** Listener that ignores all events. */
        public val NONE: EntryListener = object : EntryListener {}
    }
}
