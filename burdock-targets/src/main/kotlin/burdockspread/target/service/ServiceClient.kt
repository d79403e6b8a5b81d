/** Client of plain services. */
package burdockspread.target.service

import kotlin.time.Duration

/**
 * One call to a plain service.
 *
 * @property address IP:port of the target.
 * @property call name of the call, the path at the target.
 * @property key idempotency key passed on to the target, or null.
 */
public data class ServiceCall(
    public val address: String,
    public val call: String,
    public val body: String,
    public val key: String?,
    public val timeout: Duration,
)

/** Result of one call. */
public sealed interface ServiceResult {
    /** The target answered. */
    public data class Answered(public val status: Int, public val body: String) : ServiceResult

    /** No connection was made, so the target ran nothing. */
    public data class NotSent(public val detail: String) : ServiceResult

    /** The call may have run and its answer was lost. */
    public data class Unknown(public val detail: String) : ServiceResult
}

/** Sends calls to plain services. */
public fun interface ServiceClient {
    /** Sends [call] once. */
    public suspend fun send(call: ServiceCall): ServiceResult
}
