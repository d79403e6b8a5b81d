/** Non-idempotent calls. */
package burdockspread.call

import arrow.core.Either
import burdockspread.document.ServiceCall
import burdockspread.error.Refusal
import burdockspread.id.IdempotencyKey
import burdockspread.id.OrganisationId
import burdockspread.request.ServiceRequest
import burdockspread.request.ServiceResponse

/** Sends non-idempotent calls at most once per idempotency key. */
internal fun interface ClaimedCallSender {
    /** Sends [request], or returns the recorded outcome of an earlier send with [key]. */
    suspend fun send(
        request: ServiceRequest,
        call: ServiceCall,
        organisation: OrganisationId,
        key: IdempotencyKey,
    ): Either<Refusal, ServiceResponse>
}
