/** Spreads versioned entries between entry hosts without a full mesh. */
package burdockspread.spread

import burdockspread.id.HostId
import kotlinx.collections.immutable.ImmutableList
import kotlin.time.Instant

/**
 * One host's part in the spread of entries. Holds no input or output and is not thread-safe: the
 * shell calls it from one thread at a time.
 *
 * Fresh entries travel as rumours: inlined when small, otherwise announced and sent on request. A
 * periodic comparison of hash trees repairs whatever the rumours missed. A version never goes back.
 */
public interface GossipCore {
    /** Sets the hosts to exchange with, the own one left out. Call it when membership changes. */
    public fun onPeers(peers: ImmutableList<Peer>)

    /** Puts an entry of this host. Older or equal versions change nothing. */
    public fun putLocal(entry: Entry, now: Instant): ImmutableList<GossipEffect>

    /** Keeps entries that the other hosts have as well, and does not send them on. */
    public fun preload(entries: ImmutableList<Entry>, now: Instant)

    /** Sends what is due. Call it every [GossipSettings.roundPeriod]. */
    public fun tick(now: Instant): ImmutableList<GossipEffect>

    /** Handles an exchange that another host opened or continued. */
    public fun onExchange(request: ExchangeRequest, now: Instant): ExchangeResult

    /** Handles the answer of [from] to an own [request]. */
    public fun onReply(
        from: HostId,
        request: ExchangeRequest,
        reply: ExchangeReply,
        now: Instant,
    ): ImmutableList<GossipEffect>

    /** Handles entries that were pushed. */
    public fun onPush(request: PushRequest, now: Instant): ImmutableList<GossipEffect>

    /** Notes that an exchange or push to [host] failed, so that others are preferred. */
    public fun onFailure(host: HostId, now: Instant)

    /** The entry under [key] with its highest version seen, retired ones included, or null. */
    public fun entry(key: EntryKey): Entry?

    /** All entries of [kind] that are not retired. */
    public fun entries(kind: EntryKind): ImmutableList<Entry>

    /** Figures for metrics and state dumps. */
    public fun stats(): GossipStats

    /** Makes the core of one host. */
    public fun interface Factory {
        /** Makes a core that holds nothing yet. */
        public fun create(settings: GossipSettings): GossipCore
    }

    public companion object {
        /** Makes cores that keep their entries in memory. */
        public val factory: Factory = Factory { RealGossipCore(it) }
    }
}

/**
 * Figures of a [GossipCore].
 *
 * @property entries entries held, retired ones included.
 * @property fresh entries that are still being sent on.
 * @property sentBytes estimated bytes of all messages sent.
 * @property postponedRounds rounds left out because the bytes per second were used up.
 * @property budgetBytes bytes that may be sent at once now; negative while in debt.
 */
public data class GossipStats(
    public val entries: Int,
    public val fresh: Int,
    public val sentBytes: Long,
    public val postponedRounds: Long,
    public val budgetBytes: Long,
)
