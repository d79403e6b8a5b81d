/** Non-idempotent calls, sent under a claim. */
package burdockspread.call

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import burdockspread.claim.BodyHash
import burdockspread.claim.CallOutcome
import burdockspread.claim.ClaimDecision
import burdockspread.claim.ClaimLedger
import burdockspread.claim.ClaimRequest
import burdockspread.claim.SendPermit
import burdockspread.document.ServiceCall
import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.id.IdempotencyKey
import burdockspread.id.OrganisationId
import burdockspread.id.TargetId
import burdockspread.observe.EntryListener
import burdockspread.pool.Route
import burdockspread.pool.TargetRouter
import burdockspread.request.ServiceRequest
import burdockspread.request.ServiceResponse
import burdockspread.route.PoolKey
import burdockspread.route.RouteRequest
import burdockspread.target.service.ServiceResult
import burdockspread.time.TimeSource
import com.google.protobuf.ByteString
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.isActive
import kotlin.time.Duration.Companion.seconds

/** Claims each call in the platform's store before sending it, and records its outcome there. */
internal class RealClaimedCallSender(
    private val ledger: ClaimLedger,
    private val router: TargetRouter,
    private val sender: CallSender,
    private val listener: EntryListener,
    private val time: TimeSource,
) : ClaimedCallSender {
    override suspend fun send(
        request: ServiceRequest,
        call: ServiceCall,
        organisation: OrganisationId,
        key: IdempotencyKey,
    ): Either<Refusal, ServiceResponse> {
        val bodyHash = BodyHash.of(request.service, call.name, request.body.encodeToByteArray())
        val claimRequest = ClaimRequest(organisation, key, bodyHash, request.isFirstSend)
        val decision = ledger.claim(claimRequest, time.now())
        if (decision is ClaimDecision.Send) recordIfCancelled(decision.permit)
        val result =
            when (decision) {
                is ClaimDecision.Send -> sendOnce(request, call, decision.permit)
                is ClaimDecision.AlreadyDone -> recordedResponse(decision)
                else -> refusalOf(call, decision)
            }
        val outcome = result.fold({ "${it.code.number}" }, { "answered ${it.status}" })
        listener.onCallEnded(request.id, organisation, call.name, null, outcome)
        return result
    }

    /** Records the call as not sent if the caller left, so that its key does not stay pending. */
    private suspend fun recordIfCancelled(permit: SendPermit) {
        if (currentCoroutineContext().isActive) return
        ledger.record(permit, CallOutcome.NotSent, time.now())
    }

    private suspend fun sendOnce(
        request: ServiceRequest,
        call: ServiceCall,
        permit: SendPermit,
    ): Either<Refusal, ServiceResponse> {
        if (!permit.trySend(time.now())) return recordNotSent(call, permit, "the claim is too late")
        var excludedTargets: PersistentSet<TargetId> = persistentSetOf()
        while (time.now() <= permit.sendBefore) {
            val route = route(request, excludedTargets) ?: break
            when (val result = sender.send(request, call, route)) {
                is ServiceResult.Responded -> return recordResponse(result, permit)
                is ServiceResult.Unknown -> return outcomeUnknown(call)
                is ServiceResult.NotSent -> excludedTargets = excludedTargets.add(route.target.id)
            }
        }
        return recordNotSent(call, permit, "no target accepted the connection")
    }

    private fun route(request: ServiceRequest, excludedTargets: PersistentSet<TargetId>): Route? =
        router
            .route(
                PoolKey.Service(request.service),
                RouteRequest(excludedTargets = excludedTargets),
                time.now(),
            ).getOrNull()

    private fun recordResponse(
        result: ServiceResult.Responded,
        permit: SendPermit,
    ): Either<Refusal, ServiceResponse> {
        val answer = ByteString.copyFromUtf8(result.body)
        ledger.record(permit, CallOutcome.Done(result.status, answer), time.now())
        return ServiceResponse(result.status, result.body).right()
    }

    private fun recordNotSent(
        call: ServiceCall,
        permit: SendPermit,
        detail: String,
    ): Either<Refusal, ServiceResponse> {
        ledger.record(permit, CallOutcome.NotSent, time.now())
        return Refusal(ErrorCode.CALL_NOT_RUN, "${call.name}: $detail; retry with a new key").left()
    }

    private fun outcomeUnknown(call: ServiceCall): Either<Refusal, ServiceResponse> =
        Refusal(ErrorCode.OUTCOME_UNKNOWN, "${call.name}: the target's response was lost").left()

    private fun recordedResponse(
        decision: ClaimDecision.AlreadyDone,
    ): Either<Refusal, ServiceResponse> {
        val body = decision.answer?.toStringUtf8() ?: RESPONSE_NOT_STORED
        return ServiceResponse(decision.status, body).right()
    }

    private fun refusalOf(
        call: ServiceCall,
        decision: ClaimDecision,
    ): Either<Refusal, ServiceResponse> {
        val code = checkNotNull(decision.code) { "$decision has no error code" }
        val reason =
            when (decision) {
                is ClaimDecision.Unavailable -> decision.reason
                is ClaimDecision.Pending -> decision.reason
                else -> code.meaning
            }
        val retryAfter = RETRY_AFTER.takeIf { code.retryable }
        return Refusal(code, "${call.name}: $reason", retryAfter).left()
    }

    private companion object {
        const val RESPONSE_NOT_STORED = """{"note":"done; the answer was too large to be kept"}"""
        val RETRY_AFTER = 1.seconds
    }
}
