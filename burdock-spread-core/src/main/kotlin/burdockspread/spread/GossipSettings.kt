/** Settings of the gossip core. */
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
 * @property seedPeers initial peers, used while the membership knows no others.
 * @property seed seed of the random peer selection.
 * @property roundPeriod time between rounds while there are rumours; `tick` is called this often.
 * @property softStateRoundPeriod time between rounds while all rumours are soft state, that is load
 * and demand.
 * @property antiEntropyPeriod time between anti-entropy rounds, each with one peer.
 * @property domainFanout peers in the failure domain of this host per rumour round.
 * @property crossDomainFanout peers in other failure domains per rumour round.
 * @property maxInlineBytes maximum size of a value that is sent without being requested.
 * @property maxSends maximum number of times that a host sends a rumour.
 * @property maxRedundantSends number of receivers that already had a rumour, after which a host
 * stops sending it.
 * @property fetchTimeout time after which a requested entry is requested again.
 * @property bytesPerSecond bytes that this host may send per second over the long run.
 * @property burstBytes capacity of the token bucket, which allows bursts to joining hosts.
 * @property maxMessageBytes maximum bytes of entries in one message.
 * @property maxBackoff maximum backoff of a failed peer.
 * @property softStateTtl age at which a soft-state entry expires.
 * @property tombstoneRetention time for which retired entries are kept.
 */
public data class GossipSettings(
    public val self: Peer,
    public val seedPeers: ImmutableList<Peer> = persistentListOf(),
    public val seed: Long = self.host.value.hashCode().toLong(),
    public val roundPeriod: Duration = 250.milliseconds,
    public val softStateRoundPeriod: Duration = 500.milliseconds,
    public val antiEntropyPeriod: Duration = 500.milliseconds,
    public val domainFanout: Int = 2,
    public val crossDomainFanout: Int = 1,
    public val maxInlineBytes: Int = 64,
    public val maxSends: Int = 12,
    public val maxRedundantSends: Int = 2,
    public val fetchTimeout: Duration = 500.milliseconds,
    public val bytesPerSecond: Int = 20_000,
    public val burstBytes: Int = 1_000_000,
    public val maxMessageBytes: Int = 65_536,
    public val maxBackoff: Duration = 4.seconds,
    public val softStateTtl: Duration = 30.seconds,
    public val tombstoneRetention: Duration = 24.hours,
) {
    internal val host: HostId get() = self.host
}
