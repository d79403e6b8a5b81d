/** Effects of the spread core, carried out by its shell. */
package burdockspread.spread

import burdockspread.id.HostId
import kotlinx.collections.immutable.ImmutableList

/** What the shell has to do. */
public sealed interface GossipEffect {
    /** Send [request]; give the answer to [GossipCore.onReply], a failure to `onFailure`. */
    public data class SendExchange(public val to: HostId, public val request: ExchangeRequest) :
        GossipEffect

    /** Send [request]; only a failure is reported back. */
    public data class SendPush(public val to: HostId, public val request: PushRequest) :
        GossipEffect

    /** Entries that came from other hosts and are now in force here. */
    public data class Applied(public val entries: ImmutableList<Entry>) : GossipEffect
}

/** Answer to an exchange and the effects of handling it. */
public data class ExchangeResult(
    public val reply: ExchangeReply,
    public val effects: ImmutableList<GossipEffect>,
)
