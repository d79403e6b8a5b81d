/** Placement of the copies of a request, computed without a directory. */
package burdockspread.journal

import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import com.google.common.hash.Hashing
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toPersistentList

/** Location of a live entry host: its failure domain and region. */
public data class HostLocation(
    public val host: HostId,
    public val domain: FailureDomainId,
    public val region: String,
)

/**
 * Ranks hosts for a request by rendezvous hashing. All hosts with the same view of the live hosts
 * compute the same ranking.
 *
 * Only hosts of [region] are used when it has enough other failure domains, so that copies do not
 * wait for a distant region.
 */
public class CopyPlacement(hosts: Collection<HostLocation>, private val region: String) {
    private val locations = hosts.toList()

    /** Returns the [copies] hosts that hold the request's copies, each in a different domain. */
    public fun holders(
        request: RequestKey,
        ownerDomain: FailureDomainId,
        copies: Int,
    ): ImmutableList<HostId> = firstOfEachDomain(request, copies + 1)
        .filter { it.domain != ownerDomain }
        .take(copies)
        .map { it.host }
        .toPersistentList()

    /**
     * Returns the hosts that may hold copies, for any domain of the owner.
     *
     * @param spares further hosts of each domain, queried in case the live hosts have changed.
     */
    public fun candidates(
        request: RequestKey,
        copies: Int,
        spares: Int = 1,
    ): ImmutableList<HostId> {
        val ranked = ranked(request, copies + 1)
        val domains = ranked.map { it.domain }.distinct().take(copies + 1)
        return (0..spares)
            .flatMap { rank -> domains.mapNotNull { hostAtRank(ranked, it, rank) } }
            .map { it.host }
            .toPersistentList()
    }

    private fun hostAtRank(
        ranked: List<HostLocation>,
        domain: FailureDomainId,
        rank: Int,
    ): HostLocation? = ranked.filter { it.domain == domain }.getOrNull(rank)

    private fun firstOfEachDomain(request: RequestKey, domains: Int): List<HostLocation> =
        ranked(request, domains).distinctBy { it.domain }

    /** Ranks hosts of this region first; other regions fill up when it has too few domains. */
    private fun ranked(request: RequestKey, domains: Int): List<HostLocation> {
        val localHosts = locations.filter { it.region == region }
        val hasEnoughDomains = localHosts.distinctBy { it.domain }.size >= domains
        val byScore = compareByDescending<HostLocation> { score(request, it.host) }
        return if (hasEnoughDomains) {
            localHosts.sortedWith(byScore)
        } else {
            locations.sortedWith(
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
