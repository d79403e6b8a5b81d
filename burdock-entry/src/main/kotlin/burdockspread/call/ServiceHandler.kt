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
import burdockspread.request.ServiceRequest
import burdockspread.request.ServiceResponse
import burdockspread.route.PoolKey
import burdockspread.route.RouteRequest
import burdockspread.target.service.ServiceResult
import burdockspread.time.TimeSource
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf

/** Sends idempotent calls with budgeted retries, and other calls through [ClaimedCallSender]. */
internal class ServiceHandler(
    private val router: TargetRouter,
    private val sender: CallSender,
    private val claimedSender: ClaimedCallSender,
    private val listener: EntryListener,
    private val time: TimeSource,
) {
    /** Serves [request] with the data in [context]. */
    suspend fun serve(request: ServiceRequest, context: RequestContext): RequestResult =
        either { send(request, context) }.fold({ ErrorResult(it) }, { it })

    private suspend fun Raise<Refusal>.send(
        request: ServiceRequest,
        context: RequestContext,
    ): ServiceResponse {
        val organisation = context.requireOrganisation().id
        val call = ensureNotNull(context.document.call(request.service, request.call)) {
            Refusal(ErrorCode.UNKNOWN_SERVICE, "no call ${request.service}/${request.call}")
        }
        if (call.idempotent) return sendIdempotent(request, call, organisation)
        val key = ensureNotNull(request.key) {
            Refusal(ErrorCode.KEY_REQUIRED, "${call.name} requires an Idempotency-Key")
        }
        return claimedSender.send(request, call, organisation, key).bind()
    }

    private suspend fun Raise<Refusal>.sendIdempotent(
        request: ServiceRequest,
        call: ServiceCall,
        organisation: OrganisationId,
    ): ServiceResponse {
        val pool = PoolKey.Service(request.service)
        val budget = router.budget(pool).also { it.onFirstAttempt() }
        var excludedTargets: PersistentSet<TargetId> = persistentSetOf()
        repeat(MAX_ATTEMPTS) { attempt ->
            if (attempt > 0 && !budget.tryAcquire()) raise(failed(call, "retry budget exhausted"))
            val route = router
                .route(pool, RouteRequest(excludedTargets = excludedTargets), time.now())
                .mapLeft { if (attempt == 0) it else failed(call, "no other target is left") }
                .bind()
            val sendResult = sender.send(request, call, route)
            listener.onCallEnded(
                request.id,
                organisation,
                call.name,
                route.target.id,
                outcomeName(sendResult),
            )
            if (sendResult is ServiceResult.Responded && sendResult.status < SERVER_ERROR_STATUS) {
                return ServiceResponse(sendResult.status, sendResult.body)
            }
            excludedTargets = excludedTargets.add(route.target.id)
        }
        raise(failed(call, "$MAX_ATTEMPTS targets failed"))
    }

    private fun failed(call: ServiceCall, detail: String): Refusal =
        Refusal(ErrorCode.CALL_FAILED, "${call.name}: $detail")

    private fun outcomeName(result: ServiceResult): String = when (result) {
        is ServiceResult.Responded -> "answered ${result.status}"
        is ServiceResult.NotSent -> "not sent"
        is ServiceResult.Unknown -> "no answer"
    }

    private companion object {
        const val MAX_ATTEMPTS = 3
        const val SERVER_ERROR_STATUS = 500
    }
}
