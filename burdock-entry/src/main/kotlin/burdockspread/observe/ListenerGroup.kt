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
internal class ListenerGroup(vararg members: EntryListener) : EntryListener {
    private val members: ImmutableList<EntryListener> = members.toList().toImmutableList()

    override fun refused(
        request: RequestId,
        organisation: OrganisationId?,
        refusal: Refusal,
    ): Unit = members.forEach { it.refused(request, organisation, refusal) }

    override fun attemptOpened(
        tag: GenerationTag,
        attempt: AttemptNumber,
        target: TargetId,
        prefixTokens: Int,
    ): Unit = members.forEach { it.attemptOpened(tag, attempt, target, prefixTokens) }

    override fun attemptFailed(
        tag: GenerationTag,
        attempt: AttemptNumber,
        target: TargetId?,
        cause: String,
    ): Unit = members.forEach { it.attemptFailed(tag, attempt, target, cause) }

    override fun tokensDropped(
        tag: GenerationTag,
        attempt: AttemptNumber,
        reason: DropReason,
        tokens: Int,
    ): Unit = members.forEach { it.tokensDropped(tag, attempt, reason, tokens) }

    override fun firstToken(tag: GenerationTag, after: Duration): Unit =
        members.forEach { it.firstToken(tag, after) }

    override fun resumed(tag: GenerationTag, after: Duration, offset: Int): Unit =
        members.forEach { it.resumed(tag, after, offset) }

    override fun generationEnded(
        tag: GenerationTag,
        attempts: Int,
        tokens: Int,
        refusal: Refusal?,
    ): Unit = members.forEach { it.generationEnded(tag, attempts, tokens, refusal) }

    override fun callEnded(
        request: RequestId,
        organisation: OrganisationId,
        call: String,
        target: TargetId?,
        outcome: String,
    ): Unit = members.forEach { it.callEnded(request, organisation, call, target, outcome) }
}
