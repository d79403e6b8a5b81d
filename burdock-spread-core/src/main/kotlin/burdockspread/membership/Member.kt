/** Entry hosts as membership knows them. */
package burdockspread.membership

import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import burdockspread.spread.Peer
import kotlinx.collections.immutable.ImmutableMap

/**
 * One entry host. The spread carries it as an entry of kind `HOST` under the host's name, with
 * [Presence.version] as its version, retired once it is dead.
 *
 * @property address IP:port of its port for peers.
 */
public data class Member(
    public val host: HostId,
    public val domain: FailureDomainId,
    public val region: String,
    public val address: String,
    public val presence: Presence,
) {
    /** The host's place, for the spread. */
    public val peer: Peer get() = Peer(host, domain, region)
}

/**
 * Membership at one moment, for readers on any thread.
 *
 * @property members all hosts that are not dead, this host included.
 * @property unreachable hosts that this host cannot reach now, whatever the others report.
 */
public data class MembershipSnapshot(
    public val members: ImmutableMap<HostId, Member>,
    public val unreachable: Set<HostId>,
) {
    /** State of [host]; a host that is not known counts as dead. */
    public fun state(host: HostId): MemberState = members[host]?.presence?.state ?: MemberState.DEAD

    /** Hosts that take new work and answer this host. */
    public fun usable(): List<Member> = members.values.filter {
        it.presence.state == MemberState.LIVE && it.host !in unreachable
    }
}
