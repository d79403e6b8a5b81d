/** The spread core that keeps its entries in memory. */
package burdockspread.spread

import burdockspread.id.HostId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

internal class RealGossipCore(private val settings: GossipSettings) : GossipCore {
    private val table = EntryTable()
    private val random = Random(settings.seed)
    private val repair = Repair(table, settings.maxMessageBytes, random)
    private val fresh = FreshEntries(settings.maxSends, settings.maxKnown)
    private val chooser = PeerChooser(settings)
    private val budget = ByteBudget(settings.bytesPerSecond, settings.burstBytes)
    private val wanted = WantedEntries(settings.wantTimeout)
    private var nextRound = Instant.DISTANT_PAST
    private var nextLazyRound = Instant.DISTANT_PAST
    private var nextRepair = Instant.DISTANT_PAST
    private var nextExpiry = Instant.DISTANT_PAST
    private var postponedRounds = 0L

    override fun onPeers(peers: ImmutableList<Peer>): Unit = chooser.onPeers(peers)

    override fun putLocal(entry: Entry, now: Instant): ImmutableList<GossipEffect> {
        if (!table.put(entry, now)) return persistentListOf()
        if (entry.key.kind.scope == EntryScope.EVERYWHERE) {
            fresh.add(entry)
            return persistentListOf()
        }
        if (budget.available(now) <= 0) return persistentListOf()
        return chooser.domainPeers(now)
            .map { push(it.host, listOf(entry)) }
            .toImmutableList()
    }

    override fun preload(entries: ImmutableList<Entry>, now: Instant) {
        entries.forEach { table.put(it, now) }
    }

    override fun tick(now: Instant): ImmutableList<GossipEffect> {
        expire(now)
        if (now < nextRound) return persistentListOf()
        nextRound = now + settings.roundPeriod
        val repairDue = now >= nextRepair
        val freshDue = fresh.isUrgent || fresh.size > 0 && now >= nextLazyRound
        if (!freshDue && !repairDue) return persistentListOf()
        if (budget.available(now) <= 0) {
            postponedRounds++
            return persistentListOf()
        }
        val effects = mutableListOf<GossipEffect>()
        if (freshDue) effects += freshRound(now)
        if (repairDue) effects += repairRound(now)
        return effects.toImmutableList()
    }

    override fun onExchange(request: ExchangeRequest, now: Instant): ExchangeResult {
        chooser.onAnswer(request.sender)
        val known = knownPositions(request)
        val applied = apply(request.entries, now)
        val step = repair.compare(request.nodes, request.listings)
        val newer = request.announced.filter { table.version(it.key) < it.version }.map { it.key }
        val asked = request.wanted.mapNotNull { table.get(it) }
        val give = fitting((asked + step.give).distinctBy { it.key }, now)
        val reply = ExchangeReply(
            entries = give.entries,
            known = known,
            wanted = wanted.claim(newer + step.wanted, now),
            nodes = step.nodes,
            listings = step.listings,
            truncated = give.truncated,
        )
        budget.spend(MessageSize.of(reply))
        return ExchangeResult(reply, appliedEffect(applied).toImmutableList())
    }

    override fun onReply(
        from: HostId,
        request: ExchangeRequest,
        reply: ExchangeReply,
        now: Instant,
    ): ImmutableList<GossipEffect> {
        chooser.onAnswer(from)
        noteKnown(request, reply)
        val effects = appliedEffect(apply(reply.entries, now)).toMutableList()
        val step = repair.compare(reply.nodes, reply.listings)
        val give = reply.wanted.mapNotNull { table.get(it) } + step.give
        val fitting = fitting(give.distinctBy { it.key }, now)
        if (fitting.entries.isNotEmpty()) effects += push(from, fitting.entries)
        val due = wanted.claim(step.wanted, now)
        if (step.nodes.isNotEmpty() || step.listings.isNotEmpty() || due.isNotEmpty()) {
            effects += exchange(
                from,
                ExchangeRequest(
                    sender = settings.host,
                    wanted = due,
                    nodes = step.nodes,
                    listings = step.listings,
                ),
            )
        }
        if (reply.truncated && reply.entries.isNotEmpty()) effects += goOn(request, now)
        return effects.toImmutableList()
    }

    override fun onPush(request: PushRequest, now: Instant): ImmutableList<GossipEffect> {
        chooser.onAnswer(request.sender)
        return appliedEffect(apply(request.entries, now)).toImmutableList()
    }

    override fun onFailure(host: HostId, now: Instant): Unit = chooser.onFailure(host, now)

    override fun entry(key: EntryKey): Entry? = table.get(key)

    override fun entries(kind: EntryKind): ImmutableList<Entry> =
        table.entries(TreeNode(kind, 0, 0)).toImmutableList()

    override fun stats(): GossipStats = GossipStats(
        table.size,
        fresh.size,
        budget.sent,
        postponedRounds,
        budget.level(),
    )

    private fun freshRound(now: Instant): List<GossipEffect> {
        nextLazyRound = now + settings.lazyRoundPeriod
        val peers = chooser.forFresh(now)
        val keys = fresh.keys()
        return peers.map { exchange(it.host, freshRequest(keys)) }
    }

    private fun freshRequest(keys: List<EntryKey>): ExchangeRequest {
        val entries = mutableListOf<Entry>()
        val announced = mutableListOf<EntryDigest>()
        var room = settings.maxMessageBytes
        for (key in keys) {
            val entry = table.get(key) ?: continue
            if (room <= 0) break
            if (entry.value.size <=
                settings.inlineBytes
            ) {
                entries += entry
            } else {
                announced += entry.digest
            }
            room -= MessageSize.of(entry) - maxOf(0, entry.value.size - settings.inlineBytes)
            fresh.onSent(key)
        }
        return ExchangeRequest(
            settings.host,
            entries.toImmutableList(),
            announced.toImmutableList(),
        )
    }

    private fun repairRound(now: Instant): List<GossipEffect> {
        nextRepair = now + settings.repairPeriod
        val peer = chooser.forRepair(now) ?: return emptyList()
        return listOf(exchange(peer.host, ExchangeRequest(settings.host, nodes = repair.roots())))
    }

    /** Fetches the rest of a reply that had no room for it, from whichever peer is drawn. */
    private fun goOn(request: ExchangeRequest, now: Instant): List<GossipEffect> {
        val nodes = request.listings.map { it.node }
        if (nodes.isEmpty()) return repairRound(now)
        val peer = chooser.forRepair(now) ?: return emptyList()
        val next = ExchangeRequest(settings.host, nodes = repair.hashes(nodes))
        return listOf(exchange(peer.host, next))
    }

    /** Keeps the newer ones and sends them on, unless so many mean that this host was behind. */
    private fun apply(entries: List<Entry>, now: Instant): List<Entry> {
        val applied = entries.filter { table.put(it, now) }
        val isNews = applied.size <= MAX_NEWS
        for (entry in applied) {
            wanted.onArrived(entry.key)
            val travels = entry.key.kind.scope == EntryScope.EVERYWHERE
            if (isNews && travels) fresh.add(entry)
        }
        return applied
    }

    private fun knownPositions(request: ExchangeRequest): ImmutableList<Int> {
        val digests = request.entries.map { it.digest } + request.announced
        return digests.indices
            .filter { table.version(digests[it].key) >= digests[it].version }
            .toImmutableList()
    }

    private fun noteKnown(request: ExchangeRequest, reply: ExchangeReply) {
        val digests = request.entries.map { it.digest } + request.announced
        reply.known.mapNotNull { digests.getOrNull(it) }.forEach { fresh.onKnown(it) }
    }

    private class Fitting(val entries: ImmutableList<Entry>, val truncated: Boolean)

    /** The entries that the message and the bytes per second have room for; at least one. */
    private fun fitting(entries: List<Entry>, now: Instant): Fitting {
        if (entries.isEmpty()) return Fitting(persistentListOf(), false)
        var room = minOf(settings.maxMessageBytes.toLong(), budget.available(now))
        if (room <= 0) return Fitting(persistentListOf(), true)
        val fits = entries.sortedBy { it.key.kind.ordinal }.takeWhile { entry ->
            val before = room
            room -= MessageSize.of(entry)
            before > 0
        }
        return Fitting(fits.toImmutableList(), fits.size < entries.size)
    }

    private fun expire(now: Instant) {
        if (now < nextExpiry) return
        nextExpiry = now + EXPIRY_PERIOD
        table.expire(now - settings.expiry, now - settings.retention, now)
        wanted.expire(now)
    }

    private fun appliedEffect(applied: List<Entry>): List<GossipEffect> = if (applied.isEmpty()) {
        emptyList()
    } else {
        listOf(
            GossipEffect.Applied(applied.toImmutableList()),
        )
    }

    private fun exchange(to: HostId, request: ExchangeRequest): GossipEffect {
        budget.spend(MessageSize.of(request))
        return GossipEffect.SendExchange(to, request)
    }

    private fun push(to: HostId, entries: List<Entry>): GossipEffect {
        val request = PushRequest(settings.host, entries.toImmutableList())
        budget.spend(MessageSize.of(request))
        return GossipEffect.SendPush(to, request)
    }

    private companion object {
        val EXPIRY_PERIOD = 5.seconds

        /** Entries of one message that are still taken for news. */
        const val MAX_NEWS = 32
    }
}
