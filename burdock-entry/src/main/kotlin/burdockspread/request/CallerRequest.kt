/** Requests of callers as they come in, before it is known whose they are. */
package burdockspread.request

import burdockspread.id.IdempotencyKey
import burdockspread.id.RequestId
import burdockspread.id.ServiceId
import burdockspread.journal.EventId
import burdockspread.target.engine.CompletionBody
import kotlin.time.Instant

/** One request of a caller. */
public sealed interface CallerRequest {
    /** Name of the request, from the caller or made here. */
    public val id: RequestId

    /** The API key that the caller sent, or null. */
    public val apiKey: String?

    /** Time at which the request came in. */
    public val receivedAt: Instant
}

/**
 * A request for a generation.
 *
 * @property lastEvent what the caller has already received, when it returns for the rest.
 * @property isRetry whether the caller states that it sent this request before, to any host.
 */
public data class CompletionRequest(
    override val id: RequestId,
    override val apiKey: String?,
    override val receivedAt: Instant,
    public val body: CompletionBody,
    public val lastEvent: EventId? = null,
    public val isRetry: Boolean = false,
) : CallerRequest

/**
 * A call to a plain service.
 *
 * @property key marks repeated sends of one call; needed for calls that may not be repeated.
 * @property firstSend whether the caller states that it never sent this key before.
 */
public data class ServiceRequest(
    override val id: RequestId,
    override val apiKey: String?,
    override val receivedAt: Instant,
    public val service: ServiceId,
    public val call: String,
    public val body: String,
    public val key: IdempotencyKey? = null,
    public val firstSend: Boolean = false,
) : CallerRequest
