/** Gossip and anti-entropy of versioned entries between entry hosts, without a full mesh. */
package burdockspread.spread

import burdockspread.id.HostId
import kotlinx.collections.immutable.ImmutableList
import kotlin.time.Instant

/**
 * Gossip protocol of one host. Performs no I/O and is not thread-safe: the caller executes the
 * returned effects and calls the core from one thread at a time.
 *
 * New entries are sent as rumours: inline if small, otherwise announced and sent on request. A
 * periodic comparison of hash trees finds the entries that the rumours missed. The stored version
 * of an entry never decreases.
 */
public interface GossipCore {
    /** Sets the peers, without this host. To be called when the membership changes. */
    public fun onPeers(peers: ImmutableList<Peer>)

    /** Publishes an entry of this host. Has no effect for an older or equal version. */
    public fun putLocal(entry: Entry, now: Instant): ImmutableList<GossipEffect>

    /** Stores entries that the other hosts already have, without forwarding them. */
    public fun preload(entries: ImmutableList<Entry>, now: Instant)

    /** Starts the rounds that are due. To be called every [GossipSettings.roundPeriod]. */
    public fun tick(now: Instant): ImmutableList<GossipEffect>

    /** Handles an exchange that another host opened or continued. */
    public fun onExchange(request: ExchangeRequest, now: Instant): ExchangeResult

    /** Handles the [reply] of host [from] to a [request] of this host. */
    public fun onReply(
        from: HostId,
        request: ExchangeRequest,
        reply: ExchangeReply,
        now: Instant,
    ): ImmutableList<GossipEffect>

    /** Stores the entries that another host has pushed to this one. */
    public fun onPush(request: PushRequest, now: Instant): ImmutableList<GossipEffect>

    /** Records a failed exchange or push to [host], which is then in backoff for a while. */
    public fun onFailure(host: HostId, now: Instant)

    /** Returns the highest version of the entry with [key], possibly retired, or null. */
    public fun entry(key: EntryKey): Entry?

    /** Returns all entries of [kind] that are not retired. */
    public fun entries(kind: EntryKind): ImmutableList<Entry>

    /** Returns statistics for metrics and state dumps. */
    public fun stats(): GossipStats

    /** Creates the gossip core of one host. */
    public fun interface Factory {
        /** Creates a core without any entries. */
        public fun create(settings: GossipSettings): GossipCore
    }

    public companion object {
        /** Creates cores that keep their entries in memory. */
        public val factory: Factory = Factory { RealGossipCore(it) }
    }
}

/**
 * Statistics of a [GossipCore].
 *
 * @property entries number of stored entries, including retired ones.
 * @property activeRumours number of entries that are still being forwarded.
 * @property sentBytes estimated bytes of all messages sent.
 * @property deferredRounds number of rounds skipped because of the rate limit.
 * @property availableBytes level of the token bucket; negative after it was overdrawn.
 */
public data class GossipStats(
    public val entries: Int,
    public val activeRumours: Int,
    public val sentBytes: Long,
    public val deferredRounds: Long,
    public val availableBytes: Long,
)
