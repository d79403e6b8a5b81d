/** Execution of a session's journal. */
package burdockspread.stream

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.generation.FinishReason
import burdockspread.generation.TokenLog
import burdockspread.journal.CopyKey
import burdockspread.journal.JournalEffect
import burdockspread.journal.JournalInput
import burdockspread.journal.OwnerJournal
import kotlinx.coroutines.launch
import kotlin.time.Instant

/** Callbacks from the journal to its session. */
internal interface JournalOutput {
    /** Releases the tokens below [until] to callers, and the end if [finish] is set. */
    fun release(until: Int, finish: FinishReason?)

    /** Ends the generation on this host with [refusal]. */
    fun abort(refusal: Refusal)
}

/** Drives an [OwnerJournal] and executes its effects. */
internal class JournalDriver(
    private val services: SessionServices,
    private val request: SessionRequest,
    private val log: TokenLog,
    private val inputs: InputQueue<SessionInput>,
    private val output: JournalOutput,
) {
    private val policy = services.copyPolicy
    private val journal =
        OwnerJournal(
            CopyKey(request.key, request.generation),
            request.lineage,
            log,
            request.journalBody(),
            request.receivedAt,
            policy,
        )
    private var hasHolders = false

    /** Returns the time at which the next tick is due, or null if none is. */
    fun nextDeadline(): Instant? = journal.nextDeadline()

    /** Passes [input] to the journal, and selects copy holders when copies become due. */
    fun handle(input: JournalInput, now: Instant) {
        if (!hasHolders && areCopiesDue(input, now)) selectHolders(now)
        perform(journal.handle(input, now))
        if (input is JournalInput.HolderUnreachable) selectHolders(now)
    }

    private fun areCopiesDue(input: JournalInput, now: Instant): Boolean =
        input is JournalInput.HandOver ||
            request.lineage.segments.size > 1 ||
            now - request.receivedAt >= policy.copyAfter ||
            log.size >= policy.copyAfterTokens

    private fun selectHolders(now: Instant) {
        hasHolders = true
        val holders = services.copies.holders(request.key)
        perform(journal.handle(JournalInput.HoldersChanged(holders), now))
    }

    private fun perform(effects: List<JournalEffect>) {
        effects.forEach { effect ->
            when (effect) {
                is JournalEffect.Send -> send(effect)
                is JournalEffect.Release -> output.release(effect.until, effect.finish)
                is JournalEffect.Superseded ->
                    output.abort(supersededRefusal("host ${effect.by.host} has taken over"))
                is JournalEffect.HandedOver ->
                    output.abort(supersededRefusal("handed over to ${effect.holder}"))
                is JournalEffect.HandOverFailed ->
                    output.abort(supersededRefusal("the host is shutting down and no copy exists"))
            }
        }
    }

    private fun send(effect: JournalEffect.Send) {
        services.scope.launch {
            val outcome = services.copies.send(effect.holder, effect.batch)
            val input =
                outcome?.let { JournalInput.HolderAnswered(effect.holder, it) }
                    ?: JournalInput.HolderUnreachable(effect.holder)
            inputs.send(SessionInput.ForJournal(input))
        }
    }

    private fun supersededRefusal(detail: String): Refusal =
        Refusal(ErrorCode.GENERATION_SUPERSEDED, "$detail; reconnect to resume")
}
