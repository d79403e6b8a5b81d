/** Planning of sessions. */
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

/** Validates requests against the document and assigns generation ids. */
internal class SessionPlanner(private val host: HostId, private val random: Random) {
    /** Creates a new branch of this host at [epoch]. */
    fun branch(epoch: Long): BranchId = BranchId(epoch, host, random.nextLong())

    /** Creates the request of a new session for [body], or returns the reason for rejecting it. */
    fun plan(
        id: RequestId,
        body: CompletionBody,
        organisation: Organisation,
        document: DocumentView,
        now: Instant,
    ): Either<Refusal, SessionRequest> = either {
        val model = ensureNotNull(document.model(body.model)) {
            Refusal(ErrorCode.UNKNOWN_MODEL, "unknown model \"${body.model}\"")
        }
        ensure(body.maxTokens <= model.maxTokens) {
            Refusal(ErrorCode.TOO_MANY_TOKENS, "max_tokens exceeds the limit of ${model.maxTokens}")
        }
        val name = body.priority?.let { PriorityName(it) } ?: organisation.defaultPriority
        val priority = ensureNotNull(document.priority(name)) {
            Refusal(ErrorCode.MALFORMED_REQUEST, "priority: unknown priority \"$name\"")
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
