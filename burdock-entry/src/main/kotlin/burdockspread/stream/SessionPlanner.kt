/** Turns checked requests into what a session needs. */
package burdockspread.stream

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import burdockspread.document.DocumentView
import burdockspread.document.Organisation
import burdockspread.document.PriorityName
import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.generation.GenerationSpec
import burdockspread.id.GenerationId
import burdockspread.id.HostId
import burdockspread.id.RequestId
import burdockspread.journal.BranchId
import burdockspread.journal.Lineage
import burdockspread.journal.RequestKey
import burdockspread.target.engine.CompletionBody
import kotlin.random.Random
import kotlin.time.Instant

/** Checks requests against the document and names their generations. */
internal class SessionPlanner(private val host: HostId, private val random: Random) {
    /** A new branch of this host at [epoch]. */
    fun branch(epoch: Long): BranchId = BranchId(epoch, host, random.nextLong())

    /** What a fresh session for [body] needs. */
    fun plan(
        id: RequestId,
        body: CompletionBody,
        organisation: Organisation,
        document: DocumentView,
        now: Instant,
    ): Either<Refusal, SessionRequest> = either {
        val model = ensureNotNull(document.model(body.model)) {
            Refusal(ErrorCode.UNKNOWN_MODEL, "no model \"${body.model}\"")
        }
        ensure(body.maxTokens <= model.maxTokens) {
            Refusal(ErrorCode.TOO_MANY_TOKENS, "at most ${model.maxTokens} tokens")
        }
        val name = body.priority?.let { PriorityName(it) } ?: organisation.defaultPriority
        val priority = ensureNotNull(document.priority(name)) {
            Refusal(ErrorCode.MALFORMED_REQUEST, "priority: no priority \"$name\"")
        }
        SessionRequest(
            RequestKey(organisation.id, id),
            GenerationId("$host-${random.nextLong().toULong().toString(RADIX)}"),
            Lineage.of(branch(epoch = 1)),
            body,
            GenerationSpec(
                model.id,
                body.maxTokens,
                priority.recovery,
                priority.firstTokenDeadline,
            ),
            priority.level,
            model.version,
            now,
        )
    }

    private companion object {
        const val RADIX = 36
    }
}
