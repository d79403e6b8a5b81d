/** Serves requests for generations. */
package burdockspread.stream

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import burdockspread.document.Model
import burdockspread.document.Priority
import burdockspread.document.PriorityName
import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.generation.BodyFingerprint
import burdockspread.generation.GenerationSpec
import burdockspread.generation.OpenGenerations
import burdockspread.generation.Opening
import burdockspread.id.GenerationId
import burdockspread.id.HostId
import burdockspread.journal.BranchId
import burdockspread.journal.EventId
import burdockspread.journal.Lineage
import burdockspread.journal.RequestKey
import burdockspread.request.CompletionRequest
import burdockspread.request.ErrorResult
import burdockspread.request.GenerationResult
import burdockspread.request.RequestContext
import burdockspread.request.RequestResult
import kotlin.random.Random

/** Opens generations, or attaches callers to those that run already. */
internal class GenerationHandler(
    private val host: HostId,
    private val services: SessionServices,
    private val open: OpenGenerations<GenerationSession>,
    private val random: Random,
) {
    /** Serves [request], whose facts are in [context]. */
    fun serve(request: CompletionRequest, context: RequestContext): RequestResult =
        either { attach(request, plan(request, context)) }
            .fold({ ErrorResult(it) }, { GenerationResult(it) })

    private fun Raise<Refusal>.plan(request: CompletionRequest, context: RequestContext): Plan {
        val document = context.document
        val organisation = context.requireOrganisation()
        val model = ensureNotNull(document.model(request.body.model)) {
            Refusal(ErrorCode.UNKNOWN_MODEL, "no model \"${request.body.model}\"")
        }
        ensure(request.body.maxTokens <= model.maxTokens) {
            Refusal(ErrorCode.TOO_MANY_TOKENS, "at most ${model.maxTokens} tokens")
        }
        val name = request.body.priority?.let { PriorityName(it) } ?: organisation.defaultPriority
        val priority = ensureNotNull(document.priority(name)) {
            Refusal(ErrorCode.MALFORMED_REQUEST, "priority: no priority \"$name\"")
        }
        return Plan(RequestKey(organisation.id, request.id), model, priority)
    }

    private fun Raise<Refusal>.attach(request: CompletionRequest, plan: Plan): AnswerReader {
        val fingerprint = BodyFingerprint.of(request.body.api.path + request.body.text())
        val opening = open.open(plan.key, fingerprint) { session(request, plan) }
        return when (opening) {
            is Opening.Refused -> raise(opening.refusal)
            is Opening.Attached -> resume(opening.generation, request.lastEvent).bind()
            is Opening.Started -> {
                opening.generation.start(::ended)
                opening.generation.reader(0, restarted = request.lastEvent != null)
            }
        }
    }

    private fun resume(session: GenerationSession, last: EventId?): Either<Refusal, AnswerReader> =
        either {
            if (last == null) return@either session.reader(0)
            if (last.generation != session.request.generation) {
                return@either session.reader(0, restarted = true)
            }
            ensure(last.offset <= session.tokens.size) {
                Refusal(ErrorCode.OFFSET_AHEAD, "only ${session.tokens.size} tokens exist")
            }
            session.reader(last.offset)
        }

    private fun session(request: CompletionRequest, plan: Plan): GenerationSession {
        val branch = BranchId(epoch = 1, host = host, nonce = random.nextLong())
        val generation = GenerationId("$host-${random.nextLong().toULong().toString(RADIX)}")
        val spec =
            GenerationSpec(
                plan.model.id,
                request.body.maxTokens,
                plan.priority.recovery,
                plan.priority.firstTokenDeadline,
            )
        val sessionRequest =
            SessionRequest(
                plan.key,
                generation,
                Lineage.of(branch),
                request.body,
                spec,
                plan.priority.level,
                plan.model.version,
                request.receivedAt,
            )
        return GenerationSession(services, sessionRequest)
    }

    private fun ended(session: GenerationSession) {
        val key = session.request.key
        if (session.progress.value.end is AnswerEnd.Whole) {
            open.finish(key, session, session.bytes, services.time.now())
        } else {
            open.remove(key, session)
        }
    }

    private data class Plan(val key: RequestKey, val model: Model, val priority: Priority)

    private companion object {
        const val RADIX = 36
    }
}
