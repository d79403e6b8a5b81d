/** Works out which hosts hold the copies of a request, without a directory. */
package burdockspread.journal

import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import com.google.common.hash.Hashing
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toPersistentList

/** A live entry host with its failure domain and region. */
public data class HostLocation(
    public val host: HostId,
    public val domain: FailureDomainId,
    public val region: String,
)

/**
 * Rendezvous order of hosts for a request: the same for every host with the same live hosts.
 *
 * Hosts of [region] are used alone when it has enough other failure domains, so that copies do not
 * wait for a far region.
 */
public class CopyPlacement(hosts: Collection<HostLocation>, private val region: String) {
    private val places = hosts.toList()

    /** The [copies] hosts that hold the request's copies, each in a domain of its own. */
    public fun holders(
        request: RequestKey,
        ownerDomain: FailureDomainId,
        copies: Int,
    ): ImmutableList<HostId> = firstOfDomains(request, copies + 1)
        .filter { it.domain != ownerDomain }
        .take(copies)
        .map { it.host }
        .toPersistentList()

    /**
     * The hosts that may hold copies, whatever the owner's domain.
     *
     * @param spares further hosts of each domain, asked in case the live hosts have changed.
     */
    public fun candidates(
        request: RequestKey,
        copies: Int,
        spares: Int = 1,
    ): ImmutableList<HostId> {
        val ranked = ranked(request, copies + 1)
        val domains = ranked.map { it.domain }.distinct().take(copies + 1)
        return (0..spares)
            .flatMap { rank -> domains.mapNotNull { at(ranked, it, rank) } }
            .map { it.host }
            .toPersistentList()
    }

    private fun at(ranked: List<HostLocation>, domain: FailureDomainId, rank: Int): HostLocation? =
        ranked.filter { it.domain == domain }.getOrNull(rank)

    private fun firstOfDomains(request: RequestKey, domains: Int): List<HostLocation> =
        ranked(request, domains).distinctBy { it.domain }

    /** Hosts of this region come first; other regions fill up when it has too few domains. */
    private fun ranked(request: RequestKey, domains: Int): List<HostLocation> {
        val near = places.filter { it.region == region }
        val enough = near.distinctBy { it.domain }.size >= domains
        val byScore = compareByDescending<HostLocation> { score(request, it.host) }
        return if (enough) {
            near.sortedWith(byScore)
        } else {
            places.sortedWith(
                compareByDescending<HostLocation> { it.region == region }.then(byScore),
            )
        }
    }

    private fun score(request: RequestKey, host: HostId): Long {
        val text = "${request.organisation}\n${request.request}\n$host"
        return HASH.hashString(text, Charsets.UTF_8).asLong()
    }

    private companion object {
        val HASH = Hashing.murmur3_128()
    }
}
