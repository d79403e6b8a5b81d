/** Baseline: the origin of an entry pushes it to every other host. */
package burdockspread.bench.spread

import burdockspread.id.HostId
import burdockspread.spread.Entry
import burdockspread.spread.EntryKey
import burdockspread.spread.EntryKind
import burdockspread.spread.ExchangeReply
import burdockspread.spread.ExchangeRequest
import burdockspread.spread.ExchangeResult
import burdockspread.spread.GossipCore
import burdockspread.spread.GossipEffect
import burdockspread.spread.GossipStats
import burdockspread.spread.Peer
import burdockspread.spread.PushRequest
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import kotlin.time.Instant

/** A gossip core that pushes local entries to all peers, without retries or anti-entropy. */
internal open class FullPushCore(protected val self: Peer) : GossipCore {
    protected val entriesByKey = HashMap<EntryKey, Entry>()
    protected var peers: List<Peer> = emptyList()

    override fun onPeers(peers: ImmutableList<Peer>) {
        this.peers = peers
    }

    override fun preload(entries: ImmutableList<Entry>, now: Instant) {
        entries.forEach { apply(it) }
    }

    override fun putLocal(entry: Entry, now: Instant): ImmutableList<GossipEffect> {
        if (!apply(entry)) return persistentListOf()
        val request = PushRequest(self.host, persistentListOf(entry))
        return peers.map { GossipEffect.SendPush(it.host, request) }.toImmutableList()
    }

    override fun tick(now: Instant): ImmutableList<GossipEffect> = persistentListOf()

    override fun onExchange(request: ExchangeRequest, now: Instant): ExchangeResult =
        ExchangeResult(ExchangeReply(), persistentListOf())

    override fun onReply(
        from: HostId,
        request: ExchangeRequest,
        reply: ExchangeReply,
        now: Instant,
    ): ImmutableList<GossipEffect> = persistentListOf()

    override fun onPush(request: PushRequest, now: Instant): ImmutableList<GossipEffect> =
        applyAll(request.entries)

    override fun onFailure(host: HostId, now: Instant): Unit = Unit

    override fun entry(key: EntryKey): Entry? = entriesByKey[key]

    override fun entries(kind: EntryKind): ImmutableList<Entry> =
        entriesByKey.values.filter { it.key.kind == kind }.toImmutableList()

    override fun stats(): GossipStats = GossipStats(entriesByKey.size, 0, 0, 0, 0)

    protected fun applyAll(entries: List<Entry>): ImmutableList<GossipEffect> {
        val newer = entries.filter { apply(it) }.toImmutableList()
        return if (newer.isEmpty()) {
            persistentListOf()
        } else {
            persistentListOf(
                GossipEffect.Applied(newer),
            )
        }
    }

    private fun apply(entry: Entry): Boolean {
        val old = entriesByKey[entry.key]
        if (old != null && old.version >= entry.version) return false
        entriesByKey[entry.key] = entry
        return true
    }
}
