/** Selection of the relays of a failure domain. */
package burdockspread.forward.relay

import burdockspread.id.HostId
import burdockspread.store.RelaySelector
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Decides whether a host watches the store itself or follows a relay of its failure domain. Every
 * watch consumes the request quota for the store that all hosts share, so only a few hosts of a
 * domain keep one.
 *
 * Hosts agree on the relays by rendezvous hashing over the listed hosts, without those that
 * recently failed to answer this host. If they disagree, more hosts than necessary watch the store.
 * A host that no relay keeps up to date immediately watches the store itself. Not thread-safe and
 * does no I/O.
 */
public class RelayAssignment(private val self: HostId) {
    private var ranking = listOf(self)
    private val failed = HashMap<HostId, Failure>()

    /** Sets the listed hosts of this host's failure domain. */
    public fun onHosts(listed: Collection<HostId>) {
        ranking = RelaySelector.ranked(listed + self)
        failed.keys.retainAll(ranking.toSet())
    }

    /**
     * Returns the relays to follow in order of preference, or an empty list if this host is a relay
     * itself. Followers are split between the relays, whose links carry each edit to all of them.
     */
    public fun relays(now: Instant): List<HostId> {
        val usable = ranking.filter { host -> failed[host].let { it == null || now >= it.retryAt } }
        val relayCount = if (ranking.size <= SMALL_DOMAIN) 1 else RelaySelector.RELAYS_PER_DOMAIN
        val chosen = usable.take(relayCount)
        if (self in chosen) return emptyList()
        val first = ranking.indexOf(self) % chosen.size
        return chosen.drop(first) + chosen.take(first)
    }

    /** Records that [relay] did not answer or is not kept up to date by the store itself. */
    public fun onFailed(relay: HostId, now: Instant) {
        val before = failed[relay]?.backoff ?: Duration.ZERO
        val backoff = (before * 2).coerceIn(MIN_BACKOFF, MAX_BACKOFF)
        failed[relay] = Failure(now + backoff, backoff)
    }

    /** Records that [relay] brought this host up to date. */
    public fun onFollowed(relay: HostId) {
        failed.remove(relay)
    }

    private class Failure(val retryAt: Instant, val backoff: Duration)

    private companion object {
        /** Hosts of a domain up to which one relay is enough: its loss makes few hosts watch. */
        const val SMALL_DOMAIN = 8

        /** Time within which a restarted host listens again. */
        val MIN_BACKOFF = 2.seconds

        /** A host that is gone for good costs one request per minute while it is listed. */
        val MAX_BACKOFF = 60.seconds
    }
}
