/** Settings of the spread core. */
package burdockspread.spread

import burdockspread.id.HostId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of one host's [GossipCore].
 *
 * @property self this host.
 * @property seedPeers hosts to ask while no other is known.
 * @property seed seed of the random choices of peers.
 * @property roundPeriod time between rounds while entries are fresh; call `tick` this often.
 * @property lazyRoundPeriod time between rounds while only load and demand are fresh.
 * @property repairPeriod time between comparisons of the whole with one peer.
 * @property domainFanout peers in the own failure domain per round with fresh entries.
 * @property acrossFanout peers outside it per round with fresh entries.
 * @property inlineBytes largest value that is sent without being asked for.
 * @property maxSends sends of a fresh entry by one host.
 * @property maxKnown receivers that had a fresh entry already before a host stops sending it.
 * @property wantTimeout time after which a wanted entry is asked for again.
 * @property bytesPerSecond bytes that this host may send per second over the long run.
 * @property burstBytes bytes that it may send at once, for hosts that join.
 * @property maxMessageBytes bytes of entries in one message.
 * @property maxBackoff longest time for which a peer that fails is left out.
 * @property expiry age at which an entry of a kind that is not repaired is dropped.
 * @property retention time for which retired entries are kept.
 */
public data class GossipSettings(
    public val self: Peer,
    public val seedPeers: ImmutableList<Peer> = persistentListOf(),
    public val seed: Long = self.host.value.hashCode().toLong(),
    public val roundPeriod: Duration = 250.milliseconds,
    public val lazyRoundPeriod: Duration = 500.milliseconds,
    public val repairPeriod: Duration = 500.milliseconds,
    public val domainFanout: Int = 2,
    public val acrossFanout: Int = 1,
    public val inlineBytes: Int = 64,
    public val maxSends: Int = 12,
    public val maxKnown: Int = 2,
    public val wantTimeout: Duration = 500.milliseconds,
    public val bytesPerSecond: Int = 20_000,
    public val burstBytes: Int = 1_000_000,
    public val maxMessageBytes: Int = 65_536,
    public val maxBackoff: Duration = 4.seconds,
    public val expiry: Duration = 30.seconds,
    public val retention: Duration = 24.hours,
) {
    internal val host: HostId get() = self.host
}
