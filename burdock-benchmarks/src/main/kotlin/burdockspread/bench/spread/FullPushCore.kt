/** Baseline: the origin of an entry sends it to every other host. */
package burdockspread.bench.spread

import burdockspread.id.HostId
import burdockspread.spread.Entry
import burdockspread.spread.EntryKey
import burdockspread.spread.EntryKind
import burdockspread.spread.ExchangeHandled
import burdockspread.spread.ExchangeReply
import burdockspread.spread.ExchangeRequest
import burdockspread.spread.Peer
import burdockspread.spread.PushRequest
import burdockspread.spread.SpreadCore
import burdockspread.spread.SpreadEffect
import burdockspread.spread.SpreadStats
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import kotlin.time.Instant

/** Keeps entries and pushes own ones to all; repairs nothing. */
internal open class FullPushCore(protected val self: Peer) : SpreadCore {
    protected val held = HashMap<EntryKey, Entry>()
    protected var peers: List<Peer> = emptyList()

    override fun onPeers(peers: ImmutableList<Peer>) {
        this.peers = peers
    }

    override fun load(entries: ImmutableList<Entry>, now: Instant) {
        entries.forEach { apply(it) }
    }

    override fun localPut(entry: Entry, now: Instant): ImmutableList<SpreadEffect> {
        if (!apply(entry)) return persistentListOf()
        val request = PushRequest(self.host, persistentListOf(entry))
        return peers.map { SpreadEffect.SendPush(it.host, request) }.toImmutableList()
    }

    override fun tick(now: Instant): ImmutableList<SpreadEffect> = persistentListOf()

    override fun onExchange(request: ExchangeRequest, now: Instant): ExchangeHandled =
        ExchangeHandled(ExchangeReply(), persistentListOf())

    override fun onReply(
        from: HostId,
        request: ExchangeRequest,
        reply: ExchangeReply,
        now: Instant,
    ): ImmutableList<SpreadEffect> = persistentListOf()

    override fun onPush(request: PushRequest, now: Instant): ImmutableList<SpreadEffect> =
        applied(request.entries)

    override fun onFailure(host: HostId, now: Instant): Unit = Unit

    override fun entry(key: EntryKey): Entry? = held[key]

    override fun entries(kind: EntryKind): ImmutableList<Entry> =
        held.values.filter { it.key.kind == kind }.toImmutableList()

    override fun stats(): SpreadStats = SpreadStats(held.size, 0, 0, 0, 0)

    protected fun applied(entries: List<Entry>): ImmutableList<SpreadEffect> {
        val fresh = entries.filter { apply(it) }.toImmutableList()
        return if (fresh.isEmpty()) {
            persistentListOf()
        } else {
            persistentListOf(
                SpreadEffect.Applied(fresh),
            )
        }
    }

    private fun apply(entry: Entry): Boolean {
        val old = held[entry.key]
        if (old != null && old.version >= entry.version) return false
        held[entry.key] = entry
        return true
    }
}
