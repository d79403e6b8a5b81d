/** Handling of calls to plain services. */
package burdockspread.call

import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensureNotNull
import burdockspread.document.ServiceCall
import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.id.OrganisationId
import burdockspread.id.TargetId
import burdockspread.observe.EntryListener
import burdockspread.pool.TargetRouter
import burdockspread.request.ErrorResult
import burdockspread.request.RequestContext
import burdockspread.request.RequestResult
import burdockspread.request.ServiceAnswer
import burdockspread.request.ServiceRequest
import burdockspread.route.PoolKey
import burdockspread.route.RouteRequest
import burdockspread.target.service.ServiceResult
import burdockspread.time.TimeSource
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf

/** Sends idempotent calls with budgeted retries, and other calls through [ClaimedCalls]. */
internal class ServiceHandler(
    private val router: TargetRouter,
    private val sender: CallSender,
    private val claimed: ClaimedCalls,
    private val listener: EntryListener,
    private val time: TimeSource,
) {
    /** Serves [request] with the data in [context]. */
    suspend fun serve(request: ServiceRequest, context: RequestContext): RequestResult =
        either { send(request, context) }.fold({ ErrorResult(it) }, { it })

    private suspend fun Raise<Refusal>.send(
        request: ServiceRequest,
        context: RequestContext,
    ): ServiceAnswer {
        val organisation = context.requireOrganisation().id
        val call = ensureNotNull(context.document.call(request.service, request.call)) {
            Refusal(ErrorCode.UNKNOWN_SERVICE, "no call ${request.service}/${request.call}")
        }
        if (call.idempotent) return repeatable(request, call, organisation)
        val key = ensureNotNull(request.key) {
            Refusal(ErrorCode.KEY_REQUIRED, "${call.name} requires an Idempotency-Key")
        }
        return claimed.send(request, call, organisation, key).bind()
    }

    private suspend fun Raise<Refusal>.repeatable(
        request: ServiceRequest,
        call: ServiceCall,
        organisation: OrganisationId,
    ): ServiceAnswer {
        val pool = PoolKey.Service(request.service)
        val budget = router.budget(pool).also { it.onFirstAttempt() }
        var avoid: PersistentSet<TargetId> = persistentSetOf()
        repeat(MAX_TRIES) { tries ->
            if (tries > 0 && !budget.tryTake()) raise(failed(call, "the retry budget is exhausted"))
            val route = router.route(pool, RouteRequest(excludedTargets = avoid), time.now())
                .mapLeft { if (tries == 0) it else failed(call, "no other target is left") }
                .bind()
            val answer = sender.send(request, call, route)
            listener.callEnded(request.id, organisation, call.name, route.target.id, name(answer))
            if (answer is ServiceResult.Answered && answer.status < SERVER_ERROR) {
                return ServiceAnswer(answer.status, answer.body)
            }
            avoid = avoid.add(route.target.id)
        }
        raise(failed(call, "$MAX_TRIES targets failed"))
    }

    private fun failed(call: ServiceCall, detail: String): Refusal =
        Refusal(ErrorCode.CALL_FAILED, "${call.name}: $detail")

    private fun name(result: ServiceResult): String = when (result) {
        is ServiceResult.Answered -> "answered ${result.status}"
        is ServiceResult.NotSent -> "not sent"
        is ServiceResult.Unknown -> "no answer"
    }

    private companion object {
        const val MAX_TRIES = 3
        const val SERVER_ERROR = 500
    }
}
