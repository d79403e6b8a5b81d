/** Which host divides an organisation's limit. */
package burdockspread.limit

import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import burdockspread.id.OrganisationId
import com.google.common.hash.Hashing

/**
 * Rendezvous hashing over the failure domains of the document and the live hosts of a domain.
 *
 * The top domain does not depend on who is reachable, so that two sides of a network partition
 * never divide the same limit twice.
 */
internal class ShareScope(private val members: ShareMembers) {
    /** Host that divides the limit of [organisation] between the hosts of [domain], or null. */
    fun divider(organisation: OrganisationId, domain: FailureDomainId): HostId? =
        members.live[domain]?.maxByOrNull { weight(organisation.value, it.value) }

    /** Host that divides the limit of [organisation] between the failure domains, or null. */
    fun top(organisation: OrganisationId): HostId? {
        val domain = members.domains.maxByOrNull { weight(organisation.value, it.value) }
        return domain?.let { divider(organisation, it) }
    }

    private fun weight(key: String, node: String): Long = HASH.newHasher()
        .putUnencodedChars(key)
        .putChar('/')
        .putUnencodedChars(node)
        .hash()
        .asLong()

    private companion object {
        val HASH = Hashing.murmur3_128()
    }
}
