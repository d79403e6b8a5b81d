/** Plain services as the document describes them. */
package burdockspread.document

import burdockspread.id.ServiceId
import kotlinx.collections.immutable.ImmutableMap
import kotlin.time.Duration

/** One plain service with its calls by name. */
public data class Service(
    public val id: ServiceId,
    public val calls: ImmutableMap<String, ServiceCall>,
)

/**
 * One call of a service.
 *
 * @property idempotent whether the call may be repeated.
 */
public data class ServiceCall(
    public val name: String,
    public val idempotent: Boolean,
    public val timeout: Duration,
)
