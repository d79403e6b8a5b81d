/** Calls that may not be repeated. */
package burdockspread.call

import arrow.core.Either
import burdockspread.document.ServiceCall
import burdockspread.error.Refusal
import burdockspread.id.IdempotencyKey
import burdockspread.id.OrganisationId
import burdockspread.request.ServiceAnswer
import burdockspread.request.ServiceRequest

/** Sends a call at most once under its key. */
internal fun interface ClaimedCalls {
    /** Sends [request], or returns what is recorded of an earlier send under [key]. */
    suspend fun send(
        request: ServiceRequest,
        call: ServiceCall,
        organisation: OrganisationId,
        key: IdempotencyKey,
    ): Either<Refusal, ServiceAnswer>
}
