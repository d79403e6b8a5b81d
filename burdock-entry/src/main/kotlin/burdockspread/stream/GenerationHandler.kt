/** Handling of requests for generations. */
package burdockspread.stream

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import burdockspread.error.Refusal
import burdockspread.generation.BodyFingerprint
import burdockspread.generation.GenerationRegistry
import burdockspread.generation.OpenResult
import burdockspread.generation.TokenLog
import burdockspread.journal.JournalCopy
import burdockspread.journal.Lineage
import burdockspread.journal.ReconnectDecision
import burdockspread.request.CompletionRequest
import burdockspread.request.ErrorResult
import burdockspread.request.GenerationResult
import burdockspread.request.RequestContext
import burdockspread.request.RequestResult
import java.util.concurrent.ConcurrentHashMap

/** Starts generations, or attaches callers to those already running on this or another host. */
internal class GenerationHandler(
    private val services: SessionServices,
    private val open: GenerationRegistry<GenerationSession>,
    private val planner: SessionPlanner,
    private val locator: GenerationLocator,
) {
    private val running = ConcurrentHashMap.newKeySet<GenerationSession>()

    /** Returns the sessions that have not ended. */
    fun runningSessions(): List<GenerationSession> = running.toList()

    /** Serves [request] with the data in [context]. */
    suspend fun serve(request: CompletionRequest, context: RequestContext): RequestResult =
        plan(request, context)
            .flatMap { find(request, context, it) }
            .fold({ ErrorResult(it) }, { GenerationResult(it) })

    private fun plan(
        request: CompletionRequest,
        context: RequestContext,
    ): Either<Refusal, SessionRequest> = planner.plan(
        request.id,
        request.body,
        context.requireOrganisation(),
        context.document,
        request.receivedAt,
    )

    private suspend fun find(
        request: CompletionRequest,
        context: RequestContext,
        plan: SessionRequest,
    ): Either<Refusal, ResponseReader> {
        val local = open.find(plan.key)
        val last = request.lastEvent
        if (local != null && local.canResumeFrom(last)) return attach(plan, last?.offset ?: 0)
        if (last == null && !request.isRetry) return attach(plan, 0)
        return when (val lookup = locator.find(plan.key, last, local)) {
            is GenerationLocation.Read -> lookup.reader.right()
            is GenerationLocation.TakenOver -> takeOver(lookup, context, plan)
            is GenerationLocation.Decided -> followDecision(lookup.decision, plan, local)
        }
    }

    private fun followDecision(
        decision: ReconnectDecision,
        plan: SessionRequest,
        local: GenerationSession?,
    ): Either<Refusal, ResponseReader> = when (decision) {
        is ReconnectDecision.Refuse -> decision.refusal.left()
        is ReconnectDecision.AttachHere -> attach(plan, decision.offset)
        is ReconnectDecision.Restart -> restart(plan, local)
        else -> attach(plan, 0)
    }

    /** Attaches to the session of the request, or starts one if there is none. */
    private fun attach(plan: SessionRequest, offset: Int): Either<Refusal, ResponseReader> =
        when (val opening = open.open(plan.key, fingerprint(plan)) { session(plan) }) {
            is OpenResult.Refused -> opening.refusal.left()
            is OpenResult.Attached -> opening.generation.reader(offset).right()
            is OpenResult.Started -> start(opening.generation).reader(0).right()
        }

    private fun restart(
        plan: SessionRequest,
        oldSession: GenerationSession?,
    ): Either<Refusal, ResponseReader> {
        val newSession = session(plan)
        if (oldSession != null && open.restart(plan.key, oldSession, newSession)) {
            return start(newSession).reader(0, restarted = true).right()
        }
        return when (val opening = open.open(plan.key, fingerprint(plan)) { newSession }) {
            is OpenResult.Refused -> opening.refusal.left()
            is OpenResult.Attached -> opening.generation.reader(0, restarted = true).right()
            is OpenResult.Started -> start(newSession).reader(0, restarted = true).right()
        }
    }

    private fun takeOver(
        lookup: GenerationLocation.TakenOver,
        context: RequestContext,
        plan: SessionRequest,
    ): Either<Refusal, ResponseReader> =
        planFromCopy(lookup.copy, lookup.lineage, context, plan).flatMap { request ->
            val session = GenerationSession(services, request, TokenLog(lookup.copy.tokens))
            val opening = open.open(request.key, fingerprint(request)) { session }
            when (opening) {
                is OpenResult.Refused -> opening.refusal.left()
                is OpenResult.Attached -> restart(plan, opening.generation)
                is OpenResult.Started -> start(session).reader(lookup.offset).right()
            }
        }

    /** Plans the request in [copy] by the current document; keeps its generation id. */
    private fun planFromCopy(
        copy: JournalCopy,
        lineage: Lineage,
        context: RequestContext,
        plan: SessionRequest,
    ): Either<Refusal, SessionRequest> = SessionRequest.parseJournalBody(copy.body)
        .flatMap { body ->
            val organisation = context.requireOrganisation()
            val now = services.time.now()
            planner.plan(plan.key.request, body, organisation, context.document, now)
        }.map { it.copy(generation = copy.head.key.generation, lineage = lineage) }

    private fun session(plan: SessionRequest): GenerationSession = GenerationSession(services, plan)

    private fun start(session: GenerationSession): GenerationSession {
        running += session
        session.start(::onSessionEnded)
        return session
    }

    private fun fingerprint(plan: SessionRequest): BodyFingerprint =
        BodyFingerprint.of(plan.journalBody())

    private fun onSessionEnded(session: GenerationSession) {
        running -= session
        val key = session.request.key
        if (session.progress.value.end is ResponseEnd.Completed) {
            open.finish(key, session, session.bytes, services.time.now())
        } else {
            open.remove(key, session)
        }
    }
}
