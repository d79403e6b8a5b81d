/** Baseline: each second a host sends the digests of all entries to a random other host. */
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

/** Gossip with whole digests: the receiver sends what is newer and asks for what it lacks. */
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
        val digests = held.values.map { it.digest }.toImmutableList()
        val request = ExchangeRequest(self.host, announced = digests)
        return persistentListOf(GossipEffect.SendExchange(peers.random(random).host, request))
    }

    override fun onExchange(request: ExchangeRequest, now: Instant): ExchangeResult {
        val wanted = request.announced.filter { (held[it.key]?.version ?: -1) < it.version }
        val remote = request.announced.associate { it.key to it.version }
        val newer = held.values.filter { it.version > (remote[it.key] ?: -1) }
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
        val asked = reply.wanted.mapNotNull { held[it] }.toImmutableList()
        val push = GossipEffect.SendPush(from, PushRequest(self.host, asked))
        val effects = applied(reply.entries)
        return if (asked.isEmpty()) effects else (effects + push).toImmutableList()
    }
}
