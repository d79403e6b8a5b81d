/** Finds the organisation of a request by its API key. */
package burdockspread.intercept

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.request.ErrorResult
import burdockspread.request.RequestResult
import com.google.common.hash.Hashing

/** Refuses requests whose API key no organisation owns. Only hashes of keys are compared. */
internal class AuthenticationInterceptor : Interceptor {
    override suspend fun intercept(chain: Interceptor.Chain): RequestResult {
        val document = chain.context.document
        if (document.isEmpty) return refuse(ErrorCode.NO_DOCUMENT, "no document has arrived yet")
        val key = chain.request.apiKey
            ?: return refuse(ErrorCode.UNAUTHENTICATED, "the Authorization header is missing")
        val hash = Hashing.sha256().hashString(key, Charsets.UTF_8).toString()
        val organisation = document.organisationByKeyHash(hash)
            ?: return refuse(ErrorCode.UNAUTHENTICATED, "no organisation owns the API key")
        return chain.proceed(chain.context.copy(organisation = organisation))
    }

    private fun refuse(code: ErrorCode, detail: String): RequestResult =
        ErrorResult(Refusal(code, detail))
}
