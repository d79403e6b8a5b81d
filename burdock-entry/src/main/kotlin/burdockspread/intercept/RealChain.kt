/** Interceptor chain over a list of interceptors. */
package burdockspread.intercept

import burdockspread.request.CallerRequest
import burdockspread.request.RequestContext
import burdockspread.request.RequestResult
import kotlinx.collections.immutable.ImmutableList

internal class RealChain(
    private val interceptors: ImmutableList<Interceptor>,
    private val index: Int,
    override val request: CallerRequest,
    override val context: RequestContext,
) : Interceptor.Chain {
    override suspend fun proceed(context: RequestContext): RequestResult {
        val next = RealChain(interceptors, index + 1, request, context)
        return interceptors[index].intercept(next)
    }
}
