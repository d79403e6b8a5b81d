/** Selection of the hosts that allocate the shares of an organisation's limit. */
package burdockspread.limit

import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import burdockspread.id.OrganisationId
import com.google.common.hash.Hashing

/**
 * Selects allocators by rendezvous hashing over the failure domains of the document and the live
 * hosts of a domain.
 *
 * The domain of the root allocator does not depend on reachability, so that the two sides of a
 * network partition never allocate the same limit twice.
 */
internal class AllocatorSelector(private val members: ShareMembers) {
    /** Returns the host that allocates shares to the hosts of [domain], or null. */
    fun domainAllocator(organisation: OrganisationId, domain: FailureDomainId): HostId? =
        members.live[domain]?.maxByOrNull { weight(organisation.value, it.value) }

    /** Returns the host that allocates shares to the failure domains, or null. */
    fun rootAllocator(organisation: OrganisationId): HostId? {
        val domain = members.domains.maxByOrNull { weight(organisation.value, it.value) }
        return domain?.let { domainAllocator(organisation, it) }
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
