/** Client interface for plain services. */
package burdockspread.target.service

import kotlin.time.Duration

/**
 * Call to a plain service.
 *
 * @property address IP:port of the target.
 * @property call name of the call, used as the URL path.
 * @property key idempotency key to pass to the target, or null.
 */
public data class ServiceCall(
    public val address: String,
    public val call: String,
    public val body: String,
    public val key: String?,
    public val timeout: Duration,
)

/** Result of a call. */
public sealed interface ServiceResult {
    /** The target responded. */
    public data class Responded(public val status: Int, public val body: String) : ServiceResult

    /** No connection was established, so the target ran nothing. */
    public data class NotSent(public val detail: String) : ServiceResult

    /** The response was lost; the call may have run. */
    public data class Unknown(public val detail: String) : ServiceResult
}

/** Sends calls to plain services. */
public fun interface ServiceClient {
    /** Sends [call] once. */
    public suspend fun send(call: ServiceCall): ServiceResult
}
