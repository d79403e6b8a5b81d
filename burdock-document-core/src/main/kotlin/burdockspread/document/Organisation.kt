/** Organisations in the document. */
package burdockspread.document

import burdockspread.id.OrganisationId
import kotlinx.collections.immutable.ImmutableList

/**
 * An organisation.
 *
 * @property apiKeyHashes SHA-256 hash of each API key, in lower-case hexadecimal.
 * @property defaultPriority priority of requests that do not specify one.
 */
public data class Organisation(
    public val id: OrganisationId,
    public val apiKeyHashes: ImmutableList<String>,
    public val defaultPriority: PriorityName,
    public val limits: OrganisationLimits,
)

/**
 * Limits of an organisation across all entry hosts; null means unlimited.
 *
 * @property cutOffFloor fraction of each limit, 0 to 1, that a failure domain may use while a
 * network partition separates it from the others.
 */
public data class OrganisationLimits(
    public val requestsPerSecond: Double?,
    public val tokensPerSecond: Double?,
    public val concurrent: Int?,
    public val cutOffFloor: Double,
)
