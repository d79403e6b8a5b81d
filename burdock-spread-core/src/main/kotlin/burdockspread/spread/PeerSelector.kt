/** Selection of the peers of a gossip round. */
package burdockspread.spread

import burdockspread.id.HostId
import kotlinx.collections.immutable.ImmutableList
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Selects random peers inside the failure domain, outside it, and among the seed peers. */
internal class PeerSelector(private val settings: GossipSettings) {
    private class Backoff(val delay: Duration, val retryAt: Instant)

    private val random = Random(settings.seed)
    private val backoffs = HashMap<HostId, Backoff>()
    private var inDomain = emptyList<Peer>()
    private var inRegion = emptyList<Peer>()
    private var outsideRegion = emptyList<Peer>()

    init {
        groupPeers(settings.seedPeers)
    }

    fun onPeers(peers: ImmutableList<Peer>) {
        groupPeers(peers.ifEmpty { settings.seedPeers })
        backoffs.keys.retainAll((peers + settings.seedPeers).mapTo(HashSet()) { it.host })
    }

    fun onFailure(host: HostId, now: Instant) {
        val previousDelay = backoffs[host]?.delay ?: (settings.roundPeriod / 2)
        val delay = minOf(previousDelay * 2, settings.maxBackoff)
        backoffs[host] = Backoff(delay, now + delay + random.nextInt(JITTER_MS).milliseconds)
    }

    fun onResponse(host: HostId) {
        backoffs.remove(host)
    }

    /** Returns the peers in the failure domain of this host that are not in backoff. */
    fun domainPeers(now: Instant): List<Peer> = inDomain.filter { isReachable(it, now) }

    /** Returns the peers for a rumour round. */
    fun forRumours(now: Instant): List<Peer> {
        val near = sample(inDomain, settings.domainFanout, now)
        val far = List(settings.crossDomainFanout) { crossDomain(now) }.filterNotNull()
        return (near + far).distinct().ifEmpty { listOfNotNull(seed(now)) }
    }

    /** Returns the peer for an anti-entropy round, sometimes one of another failure domain. */
    fun forAntiEntropy(now: Instant): Peer? {
        val draw = random.nextInt(TOTAL_WEIGHT)
        val choice =
            when {
                draw == 0 -> seed(now)
                draw <= CROSS_DOMAIN_WEIGHT -> crossDomain(now)
                else -> sample(inDomain, 1, now).firstOrNull()
            }
        return choice ?: sample(inDomain, 1, now).firstOrNull() ?: crossDomain(now) ?: seed(now)
    }

    fun isInDomain(peer: Peer): Boolean = peer.domain == settings.self.domain

    private fun crossDomain(now: Instant): Peer? {
        val regionFirst = random.nextBoolean()
        val preferred = if (regionFirst) inRegion else outsideRegion
        val alternative = if (regionFirst) outsideRegion else inRegion
        return sample(preferred, 1, now).firstOrNull() ?: sample(alternative, 1, now).firstOrNull()
    }

    /**
     * Returns a seed peer, even one that membership has removed, so that the two sides of a healed
     * partition find each other.
     */
    private fun seed(now: Instant): Peer? =
        sample(settings.seedPeers.filter { it.host != settings.host }, 1, now).firstOrNull()

    private fun sample(peers: List<Peer>, count: Int, now: Instant): List<Peer> {
        if (peers.size <= count) return peers.filter { isReachable(it, now) }
        val chosen = LinkedHashSet<Peer>()
        repeat(count + EXTRA_DRAWS) {
            val peer = peers[random.nextInt(peers.size)]
            if (chosen.size < count && isReachable(peer, now)) chosen += peer
        }
        return if (chosen.size == count) chosen.toList() else sampleReachable(peers, count, now)
    }

    /** Considers every peer, for the case that few of them are reachable. */
    private fun sampleReachable(peers: List<Peer>, count: Int, now: Instant): List<Peer> =
        peers.filter { isReachable(it, now) }.shuffled(random).take(count)

    private fun isReachable(peer: Peer, now: Instant): Boolean =
        backoffs[peer.host]?.let { now >= it.retryAt } ?: true

    private fun groupPeers(peers: List<Peer>) {
        val others = peers.filter { it.host != settings.host }
        inDomain = others.filter { isInDomain(it) }
        inRegion = others.filter { !isInDomain(it) && it.region == settings.self.region }
        outsideRegion = others.filter { it.region != settings.self.region }
    }

    private companion object {
        const val JITTER_MS = 250
        const val EXTRA_DRAWS = 4
        const val TOTAL_WEIGHT = 16
        const val CROSS_DOMAIN_WEIGHT = 4
    }
}
