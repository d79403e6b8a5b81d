/** Keeps refusals of repeated calls truthful. */
package burdockspread.intercept

import burdockspread.error.ErrorCode
import burdockspread.error.ExecutionOutcome
import burdockspread.error.Refusal
import burdockspread.request.ErrorResult
import burdockspread.request.RequestResult
import burdockspread.request.ServiceRequest

/**
 * A refusal for load says "not run" of this send. When the caller did not state that it is the
 * first one, an earlier send under the same key may have run, so the refusal must not say more than
 * that the key was not looked up.
 */
internal class RepeatInterceptor : Interceptor {
    override suspend fun intercept(chain: Interceptor.Chain): RequestResult {
        val result = chain.proceed()
        val request = chain.request
        val mayHaveRun = request is ServiceRequest && request.key != null && !request.firstSend
        if (!mayHaveRun || result !is ErrorResult || !isForLoad(result.refusal)) return result
        val refusal = result.refusal
        val detail = "${refusal.code.name}: ${refusal.detail}"
        return ErrorResult(Refusal(ErrorCode.KEY_NOT_LOOKED_UP, detail, refusal.retryAfter))
    }

    /** Bad requests can never have run; codes of the claims ledger know what became of the key. */
    private fun isForLoad(refusal: Refusal): Boolean =
        refusal.executionOutcome == ExecutionOutcome.NOT_RUN &&
        refusal.code.retryable &&
        refusal.code != ErrorCode.CLAIM_UNAVAILABLE
}
