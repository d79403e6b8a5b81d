/** Rate limiting of organisations. */
package burdockspread.intercept

import burdockspread.id.OrganisationId
import burdockspread.limit.LimitDecision
import burdockspread.limit.LimitPermit
import burdockspread.limit.OrganisationLimits
import burdockspread.request.CallerRequest
import burdockspread.request.CompletionRequest
import burdockspread.request.ErrorResult
import burdockspread.request.GenerationResult
import burdockspread.request.RequestResult
import burdockspread.request.ServiceRequest
import burdockspread.stream.ResponsePart
import burdockspread.stream.ResponseReader
import burdockspread.time.TimeSource
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.onEach
import kotlin.time.Duration.Companion.milliseconds

/** Rejects requests that exceed a limit, and charges the tokens of admitted ones. */
internal class LimitInterceptor(
    private val limits: OrganisationLimits,
    private val time: TimeSource,
) : Interceptor {
    override suspend fun intercept(chain: Interceptor.Chain): RequestResult {
        val organisation = chain.context.requireOrganisation().id
        return when (val decision = check(organisation, maxTokens(chain.request))) {
            is LimitDecision.Refused -> ErrorResult(decision.refusal)
            is LimitDecision.Allowed -> proceed(chain, decision.permit)
        }
    }

    /** Checks the limits, and retries while a larger share, requested on demand, may arrive. */
    private suspend fun check(organisation: OrganisationId, maxTokens: Int): LimitDecision {
        repeat(SHARE_RETRIES) {
            val decision = limits.check(organisation, maxTokens, time.now())
            val mayPassLater = decision is LimitDecision.Refused && decision.isShareRequested
            if (!mayPassLater) return decision
            delay(SHARE_RETRY_DELAY)
        }
        return limits.check(organisation, maxTokens, time.now())
    }

    private suspend fun proceed(chain: Interceptor.Chain, permit: LimitPermit): RequestResult {
        val result =
            try {
                chain.proceed()
            } catch (e: Throwable) {
                permit.release(time.now())
                throw e
            }
        if (result is GenerationResult) return GenerationResult(QuotaReader(result.reader, permit))
        permit.release(time.now())
        return result
    }

    private fun maxTokens(request: CallerRequest): Int = when (request) {
        is CompletionRequest -> request.body.maxTokens
        is ServiceRequest -> 0
    }

    /** Reader that charges tokens as the caller reads them, and releases the permit when closed. */
    private inner class QuotaReader(
        private val reader: ResponseReader,
        private val permit: LimitPermit,
    ) : ResponseReader by reader {
        override fun parts(): Flow<ResponsePart> = reader.parts().onEach {
            if (it is ResponsePart.Tokens) permit.onTokens(it.tokens.size, time.now())
        }

        override fun close() {
            permit.release(time.now())
            reader.close()
        }
    }

    private companion object {
        const val SHARE_RETRIES = 4
        val SHARE_RETRY_DELAY = 250.milliseconds
    }
}
