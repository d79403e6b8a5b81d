/** Chooses the peers of a round. */
package burdockspread.spread

import burdockspread.id.HostId
import kotlinx.collections.immutable.ImmutableList
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Random choice by place: inside the failure domain, across it, and among the seeds. */
internal class PeerChooser(private val settings: GossipSettings) {
    private class Backoff(val pause: Duration, val until: Instant)

    private val random = Random(settings.seed)
    private val backoffs = HashMap<HostId, Backoff>()
    private var inDomain = emptyList<Peer>()
    private var inRegion = emptyList<Peer>()
    private var elsewhere = emptyList<Peer>()

    init {
        place(settings.seedPeers)
    }

    fun onPeers(peers: ImmutableList<Peer>) {
        place(peers.ifEmpty { settings.seedPeers })
        backoffs.keys.retainAll((peers + settings.seedPeers).mapTo(HashSet()) { it.host })
    }

    fun onFailure(host: HostId, now: Instant) {
        val before = backoffs[host]?.pause ?: (settings.roundPeriod / 2)
        val pause = minOf(before * 2, settings.maxBackoff)
        backoffs[host] = Backoff(pause, now + pause + random.nextInt(JITTER_MS).milliseconds)
    }

    fun onAnswer(host: HostId) {
        backoffs.remove(host)
    }

    /** Reachable peers of the own failure domain. */
    fun domainPeers(now: Instant): List<Peer> = inDomain.filter { isReachable(it, now) }

    /** Peers for a round with fresh entries. */
    fun forFresh(now: Instant): List<Peer> {
        val near = sample(inDomain, settings.domainFanout, now)
        val far = List(settings.acrossFanout) { across(now) }.filterNotNull()
        return (near + far).distinct().ifEmpty { listOfNotNull(seed(now)) }
    }

    /** The peer for a comparison of the whole, now and then one of another failure domain. */
    fun forRepair(now: Instant): Peer? {
        val roll = random.nextInt(REPAIR_SIDES)
        val choice =
            when {
                roll == 0 -> seed(now)
                roll <= ACROSS_SIDES -> across(now)
                else -> sample(inDomain, 1, now).firstOrNull()
            }
        return choice ?: sample(inDomain, 1, now).firstOrNull() ?: across(now) ?: seed(now)
    }

    fun isInDomain(peer: Peer): Boolean = peer.domain == settings.self.domain

    private fun across(now: Instant): Peer? {
        val regionFirst = random.nextBoolean()
        val first = if (regionFirst) inRegion else elsewhere
        val second = if (regionFirst) elsewhere else inRegion
        return sample(first, 1, now).firstOrNull() ?: sample(second, 1, now).firstOrNull()
    }

    /** Seeds are asked even when membership has lost them, so that two islands find each other. */
    private fun seed(now: Instant): Peer? =
        sample(settings.seedPeers.filter { it.host != settings.host }, 1, now).firstOrNull()

    private fun sample(peers: List<Peer>, count: Int, now: Instant): List<Peer> {
        if (peers.size <= count) return peers.filter { isReachable(it, now) }
        val chosen = LinkedHashSet<Peer>()
        repeat(count + RANDOM_TRIES) {
            val peer = peers[random.nextInt(peers.size)]
            if (chosen.size < count && isReachable(peer, now)) chosen += peer
        }
        return if (chosen.size == count) chosen.toList() else sampleReachable(peers, count, now)
    }

    /** Looks at every peer, for the case that few of them are reachable. */
    private fun sampleReachable(peers: List<Peer>, count: Int, now: Instant): List<Peer> =
        peers.filter { isReachable(it, now) }.shuffled(random).take(count)

    private fun isReachable(peer: Peer, now: Instant): Boolean =
        backoffs[peer.host]?.let { now >= it.until } ?: true

    private fun place(peers: List<Peer>) {
        val others = peers.filter { it.host != settings.host }
        inDomain = others.filter { isInDomain(it) }
        inRegion = others.filter { !isInDomain(it) && it.region == settings.self.region }
        elsewhere = others.filter { it.region != settings.self.region }
    }

    private companion object {
        const val JITTER_MS = 250
        const val RANDOM_TRIES = 4
        const val REPAIR_SIDES = 16
        const val ACROSS_SIDES = 4
    }
}
