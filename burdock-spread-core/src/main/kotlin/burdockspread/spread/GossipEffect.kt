/** Effects of the gossip core, executed by its caller. */
package burdockspread.spread

import burdockspread.id.HostId
import kotlinx.collections.immutable.ImmutableList

/** Action that the caller executes for the gossip core. */
public sealed interface GossipEffect {
    /** Send [request]; pass the reply to [GossipCore.onReply], a failure to `onFailure`. */
    public data class SendExchange(public val to: HostId, public val request: ExchangeRequest) :
        GossipEffect

    /** Send [request]; pass only a failure back, to `onFailure`. */
    public data class SendPush(public val to: HostId, public val request: PushRequest) :
        GossipEffect

    /** Entries from other hosts were stored as newer versions. */
    public data class Applied(public val entries: ImmutableList<Entry>) : GossipEffect
}

/** Reply to an exchange request, and the effects of handling it. */
public data class ExchangeResult(
    public val reply: ExchangeReply,
    public val effects: ImmutableList<GossipEffect>,
)
