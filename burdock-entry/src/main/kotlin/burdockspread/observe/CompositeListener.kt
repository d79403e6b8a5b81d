/** Dispatch of events to several listeners. */
package burdockspread.observe

import burdockspread.error.Refusal
import burdockspread.generation.DropReason
import burdockspread.id.AttemptNumber
import burdockspread.id.OrganisationId
import burdockspread.id.RequestId
import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlin.time.Duration

/** Listener that passes each event to all its members in order. */
internal class CompositeListener(vararg members: EntryListener) : EntryListener {
    private val members: ImmutableList<EntryListener> = members.toList().toImmutableList()

    override fun onRefused(
        request: RequestId,
        organisation: OrganisationId?,
        refusal: Refusal,
    ): Unit = members.forEach { it.onRefused(request, organisation, refusal) }

    override fun onAttemptOpened(
        tag: GenerationTag,
        attempt: AttemptNumber,
        target: TargetId,
        prefixTokens: Int,
    ): Unit = members.forEach { it.onAttemptOpened(tag, attempt, target, prefixTokens) }

    override fun onAttemptFailed(
        tag: GenerationTag,
        attempt: AttemptNumber,
        target: TargetId?,
        cause: String,
    ): Unit = members.forEach { it.onAttemptFailed(tag, attempt, target, cause) }

    override fun onAttemptTokensDropped(
        tag: GenerationTag,
        attempt: AttemptNumber,
        reason: DropReason,
        tokens: Int,
    ): Unit = members.forEach { it.onAttemptTokensDropped(tag, attempt, reason, tokens) }

    override fun onFirstToken(tag: GenerationTag, latency: Duration): Unit =
        members.forEach { it.onFirstToken(tag, latency) }

    override fun onResumed(tag: GenerationTag, latency: Duration, offset: Int): Unit =
        members.forEach { it.onResumed(tag, latency, offset) }

    override fun onGenerationEnded(
        tag: GenerationTag,
        attempts: Int,
        tokens: Int,
        refusal: Refusal?,
    ): Unit = members.forEach { it.onGenerationEnded(tag, attempts, tokens, refusal) }

    override fun onCallEnded(
        request: RequestId,
        organisation: OrganisationId,
        call: String,
        target: TargetId?,
        outcome: String,
    ): Unit = members.forEach { it.onCallEnded(request, organisation, call, target, outcome) }
}
