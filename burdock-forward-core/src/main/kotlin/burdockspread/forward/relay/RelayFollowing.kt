/** Who watches the store, and who follows a host that does. */
package burdockspread.forward.relay

import burdockspread.id.HostId
import burdockspread.store.RelaySelector
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Decides for one host whether it watches the store itself or follows a relay of its failure
 * domain. Every watch is a call that all hosts' share of the store pays for, so only a few hosts
 * of a domain keep one.
 *
 * Hosts agree on the relays by rendezvous hashing over those that are listed, less those that did
 * not answer this host lately. Where they disagree, more hosts watch than need to. A host that no
 * relay keeps up to date watches by itself at once. Not thread-safe, without input or output.
 */
public class RelayFollowing(private val self: HostId) {
    private var ranking = listOf(self)
    private val failed = HashMap<HostId, Failure>()

    /** Sets the hosts of the own failure domain, as they are listed. */
    public fun onHosts(listed: Collection<HostId>) {
        ranking = RelaySelector.ranked(listed + self)
        failed.keys.retainAll(ranking.toSet())
    }

    /**
     * The relays to follow, the one to ask first before the others; empty when this host is a relay
     * itself. Followers divide between the relays, whose links carry each edit to all of them.
     */
    public fun relays(now: Instant): List<HostId> {
        val usable = ranking.filter { host -> failed[host].let { it == null || now >= it.until } }
        val wanted = if (ranking.size <= SMALL_DOMAIN) 1 else RelaySelector.RELAYS_PER_DOMAIN
        val chosen = usable.take(wanted)
        if (self in chosen) return emptyList()
        val first = ranking.indexOf(self) % chosen.size
        return chosen.drop(first) + chosen.take(first)
    }

    /** [relay] did not answer, or is not kept up to date by the store itself. */
    public fun onFailed(relay: HostId, now: Instant) {
        val before = failed[relay]?.pause ?: Duration.ZERO
        val pause = (before * 2).coerceIn(FIRST_PAUSE, LONGEST_PAUSE)
        failed[relay] = Failure(now + pause, pause)
    }

    /** [relay] brought this host up to date. */
    public fun onFollowed(relay: HostId) {
        failed.remove(relay)
    }

    private class Failure(val until: Instant, val pause: Duration)

    private companion object {
        /** Hosts of a domain up to which one relay is enough: its loss makes few of them watch. */
        const val SMALL_DOMAIN = 8

        /** Time in which a host that restarts listens again. */
        val FIRST_PAUSE = 2.seconds

        /** A host that is gone for good costs one question a minute while it is listed. */
        val LONGEST_PAUSE = 60.seconds
    }
}
