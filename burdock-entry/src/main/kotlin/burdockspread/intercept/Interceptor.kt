/** The chain that every request passes before it is served. */
package burdockspread.intercept

import burdockspread.request.CallerRequest
import burdockspread.request.RequestContext
import burdockspread.request.RequestResult

/** One step of the request path: answers by itself or lets the chain go on. */
public fun interface Interceptor {
    /** Handles the request of [chain], usually by [Chain.proceed]. */
    public suspend fun intercept(chain: Chain): RequestResult

    /** The rest of the path. */
    public interface Chain {
        /** The request. */
        public val request: CallerRequest

        /** What is known about the request so far. */
        public val context: RequestContext

        /** Hands the request with [context] to the next interceptor. */
        public suspend fun proceed(context: RequestContext = this.context): RequestResult
    }
}
