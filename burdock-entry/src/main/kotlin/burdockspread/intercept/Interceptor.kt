/** Interceptors that process every request. */
package burdockspread.intercept

import burdockspread.request.CallerRequest
import burdockspread.request.RequestContext
import burdockspread.request.RequestResult

/** Step of request processing that either returns a result itself or proceeds with the chain. */
public fun interface Interceptor {
    /** Handles the request of [chain], usually by calling [Chain.proceed]. */
    public suspend fun intercept(chain: Chain): RequestResult

    /** The remaining interceptors. */
    public interface Chain {
        /** Request that is processed. */
        public val request: CallerRequest

        /** Data that the previous interceptors attached to the request. */
        public val context: RequestContext

        /** Passes the request with [context] to the next interceptor. */
        public suspend fun proceed(context: RequestContext = this.context): RequestResult
    }
}
