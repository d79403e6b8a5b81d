/** Correct refusals for calls that may have been sent before. */
package burdockspread.intercept

import burdockspread.error.ErrorCode
import burdockspread.error.ExecutionOutcome
import burdockspread.error.Refusal
import burdockspread.request.ErrorResult
import burdockspread.request.RequestResult
import burdockspread.request.ServiceRequest

/**
 * Replaces load-related refusals of calls that the caller may have sent before.
 *
 * Such a refusal states that this send did not run. Unless the caller stated that it is the first
 * one, an earlier send with the same key may have run, so the refusal must only state that the key
 * was not looked up.
 */
internal class RetriedCallInterceptor : Interceptor {
    override suspend fun intercept(chain: Interceptor.Chain): RequestResult {
        val result = chain.proceed()
        val request = chain.request
        val mayHaveRun = request is ServiceRequest && request.key != null && !request.isFirstSend
        if (!mayHaveRun || result !is ErrorResult || !isLoadRelated(result.refusal)) return result
        val refusal = result.refusal
        val detail = "${refusal.code.name}: ${refusal.detail}"
        return ErrorResult(Refusal(ErrorCode.KEY_NOT_LOOKED_UP, detail, refusal.retryAfter))
    }

    /**
     * Returns whether [refusal] is load-related. Invalid requests can never have run, and the codes
     * of the claim ledger already reflect the outcome of the key.
     */
    private fun isLoadRelated(refusal: Refusal): Boolean =
        refusal.executionOutcome == ExecutionOutcome.NOT_RUN &&
            refusal.code.retryable &&
            refusal.code != ErrorCode.CLAIM_UNAVAILABLE
}
