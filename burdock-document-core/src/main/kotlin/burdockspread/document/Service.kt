/** Non-model services in the document. */
package burdockspread.document

import burdockspread.id.ServiceId
import kotlinx.collections.immutable.ImmutableMap
import kotlin.time.Duration

/** A non-model service with its calls by name. */
public data class Service(
    public val id: ServiceId,
    public val calls: ImmutableMap<String, ServiceCall>,
)

/**
 * A call of a service.
 *
 * @property idempotent whether the call is safe to retry after it may have been executed.
 */
public data class ServiceCall(
    public val name: String,
    public val idempotent: Boolean,
    public val timeout: Duration,
)
