/** Baseline: every second, a host sends the digests of all its entries to a random peer. */
package burdockspread.bench.spread

import burdockspread.id.HostId
import burdockspread.spread.Entry
import burdockspread.spread.ExchangeReply
import burdockspread.spread.ExchangeRequest
import burdockspread.spread.ExchangeResult
import burdockspread.spread.GossipEffect
import burdockspread.spread.Peer
import burdockspread.spread.PushRequest
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Push-pull gossip with full digests: the receiver sends newer and requests missing entries. */
internal class FullDigestCore(self: Peer, seed: Long) : FullPushCore(self) {
    private val random = Random(seed)
    private var nextRound = Instant.DISTANT_PAST

    override fun putLocal(entry: Entry, now: Instant): ImmutableList<GossipEffect> {
        preload(persistentListOf(entry), now)
        return persistentListOf()
    }

    override fun tick(now: Instant): ImmutableList<GossipEffect> {
        if (now < nextRound) return persistentListOf()
        nextRound = now + 1.seconds
        val digests = entriesByKey.values.map { it.digest }.toImmutableList()
        val request = ExchangeRequest(self.host, announced = digests)
        return persistentListOf(GossipEffect.SendExchange(peers.random(random).host, request))
    }

    override fun onExchange(request: ExchangeRequest, now: Instant): ExchangeResult {
        val wanted = request.announced.filter { (entriesByKey[it.key]?.version ?: -1) < it.version }
        val remote = request.announced.associate { it.key to it.version }
        val newer = entriesByKey.values.filter { it.version > (remote[it.key] ?: -1) }
        val reply = ExchangeReply(
            entries = newer.toImmutableList(),
            wanted = wanted.map { it.key }.toImmutableList(),
        )
        return ExchangeResult(reply, persistentListOf())
    }

    override fun onReply(
        from: HostId,
        request: ExchangeRequest,
        reply: ExchangeReply,
        now: Instant,
    ): ImmutableList<GossipEffect> {
        val requested = reply.wanted.mapNotNull { entriesByKey[it] }.toImmutableList()
        val push = GossipEffect.SendPush(from, PushRequest(self.host, requested))
        val effects = applyAll(reply.entries)
        return if (requested.isEmpty()) effects else (effects + push).toImmutableList()
    }
}
