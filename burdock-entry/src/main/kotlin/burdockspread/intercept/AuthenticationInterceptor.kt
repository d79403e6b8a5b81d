/** Authentication of requests by API key. */
package burdockspread.intercept

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.request.ErrorResult
import burdockspread.request.RequestResult
import com.google.common.hash.Hashing

/** Rejects requests whose API key belongs to no organisation. Only key hashes are compared. */
internal class AuthenticationInterceptor : Interceptor {
    override suspend fun intercept(chain: Interceptor.Chain): RequestResult {
        val document = chain.context.document
        if (document.isEmpty) return refuse(ErrorCode.NO_DOCUMENT, "no document received yet")
        val key = chain.request.apiKey
            ?: return refuse(ErrorCode.UNAUTHENTICATED, "Authorization header is missing")
        val hash = Hashing.sha256().hashString(key, Charsets.UTF_8).toString()
        val organisation = document.organisationByKeyHash(hash)
            ?: return refuse(ErrorCode.UNAUTHENTICATED, "API key belongs to no organisation")
        return chain.proceed(chain.context.copy(organisation = organisation))
    }

    private fun refuse(code: ErrorCode, detail: String): RequestResult =
        ErrorResult(Refusal(code, detail))
}
