/** Entry hosts in the membership. */
package burdockspread.membership

import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import burdockspread.spread.Peer
import kotlinx.collections.immutable.ImmutableMap

/**
 * An entry host. Gossip carries it as an entry of kind `HOST` with the host name as its name and
 * [Presence.version] as its version; the entry is retired once the host is dead.
 *
 * @property address IP:port of the gRPC server for peer hosts.
 */
public data class Member(
    public val host: HostId,
    public val domain: FailureDomainId,
    public val region: String,
    public val address: String,
    public val presence: Presence,
) {
    /** The host with its failure domain and region, for gossip. */
    public val peer: Peer get() = Peer(host, domain, region)
}

/**
 * Immutable snapshot of the membership, readable from any thread.
 *
 * @property members all hosts that are not dead, including this host.
 * @property unreachable hosts that this host currently fails to reach, whatever the others report.
 */
public data class MembershipSnapshot(
    public val members: ImmutableMap<HostId, Member>,
    public val unreachable: Set<HostId>,
) {
    /** Returns the state of [host]; an unknown host counts as dead. */
    public fun state(host: HostId): MemberState = members[host]?.presence?.state ?: MemberState.DEAD

    /** Returns the hosts that accept new work and are reachable from this host. */
    public fun usable(): List<Member> = members.values.filter {
        it.presence.state == MemberState.LIVE && it.host !in unreachable
    }
}
