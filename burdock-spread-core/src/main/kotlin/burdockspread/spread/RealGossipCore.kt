/** The in-memory gossip core. */
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
    private val antiEntropy = AntiEntropy(table, settings.maxMessageBytes, random)
    private val rumours = RumourQueue(settings.maxSends, settings.maxRedundantSends)
    private val peerSelector = PeerSelector(settings)
    private val tokenBucket = ByteTokenBucket(settings.bytesPerSecond, settings.burstBytes)
    private val pendingFetches = PendingFetches(settings.fetchTimeout)
    private var nextRound = Instant.DISTANT_PAST
    private var nextSoftStateRound = Instant.DISTANT_PAST
    private var nextAntiEntropy = Instant.DISTANT_PAST
    private var nextExpiry = Instant.DISTANT_PAST
    private var deferredRounds = 0L

    override fun onPeers(peers: ImmutableList<Peer>): Unit = peerSelector.onPeers(peers)

    override fun putLocal(entry: Entry, now: Instant): ImmutableList<GossipEffect> {
        if (!table.put(entry, now)) return persistentListOf()
        if (entry.key.kind.scope == EntryScope.EVERYWHERE) {
            rumours.add(entry)
            return persistentListOf()
        }
        if (tokenBucket.available(now) <= 0) return persistentListOf()
        return peerSelector.domainPeers(now)
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
        val antiEntropyDue = now >= nextAntiEntropy
        val rumoursDue = rumours.hasUrgentEntries || rumours.size > 0 && now >= nextSoftStateRound
        if (!rumoursDue && !antiEntropyDue) return persistentListOf()
        if (tokenBucket.available(now) <= 0) {
            deferredRounds++
            return persistentListOf()
        }
        val effects = mutableListOf<GossipEffect>()
        if (rumoursDue) effects += rumourRound(now)
        if (antiEntropyDue) effects += antiEntropyRound(now)
        return effects.toImmutableList()
    }

    override fun onExchange(request: ExchangeRequest, now: Instant): ExchangeResult {
        peerSelector.onResponse(request.sender)
        val known = knownPositions(request)
        val applied = apply(request.entries, now)
        val step = antiEntropy.compare(request.nodes, request.listings)
        val newer = request.announced.filter { table.version(it.key) < it.version }.map { it.key }
        val requested = request.wanted.mapNotNull { table.get(it) }
        val toSend = fitToBudget((requested + step.toSend).distinctBy { it.key }, now)
        val reply = ExchangeReply(
            entries = toSend.entries,
            known = known,
            wanted = pendingFetches.startDue(newer + step.wanted, now),
            nodes = step.nodes,
            listings = step.listings,
            truncated = toSend.truncated,
        )
        tokenBucket.spend(MessageSize.of(reply))
        return ExchangeResult(reply, appliedEffect(applied).toImmutableList())
    }

    override fun onReply(
        from: HostId,
        request: ExchangeRequest,
        reply: ExchangeReply,
        now: Instant,
    ): ImmutableList<GossipEffect> {
        peerSelector.onResponse(from)
        recordKnown(request, reply)
        val effects = appliedEffect(apply(reply.entries, now)).toMutableList()
        val step = antiEntropy.compare(reply.nodes, reply.listings)
        val toSend = reply.wanted.mapNotNull { table.get(it) } + step.toSend
        val batch = fitToBudget(toSend.distinctBy { it.key }, now)
        if (batch.entries.isNotEmpty()) effects += push(from, batch.entries)
        val toFetch = pendingFetches.startDue(step.wanted, now)
        if (step.nodes.isNotEmpty() || step.listings.isNotEmpty() || toFetch.isNotEmpty()) {
            effects += exchange(
                from,
                ExchangeRequest(
                    sender = settings.host,
                    wanted = toFetch,
                    nodes = step.nodes,
                    listings = step.listings,
                ),
            )
        }
        if (reply.truncated && reply.entries.isNotEmpty()) effects += fetchRemainder(request, now)
        return effects.toImmutableList()
    }

    override fun onPush(request: PushRequest, now: Instant): ImmutableList<GossipEffect> {
        peerSelector.onResponse(request.sender)
        return appliedEffect(apply(request.entries, now)).toImmutableList()
    }

    override fun onFailure(host: HostId, now: Instant): Unit = peerSelector.onFailure(host, now)

    override fun entry(key: EntryKey): Entry? = table.get(key)

    override fun entries(kind: EntryKind): ImmutableList<Entry> =
        table.entries(TreeNode(kind, 0, 0)).toImmutableList()

    override fun stats(): GossipStats = GossipStats(
        table.size,
        rumours.size,
        tokenBucket.sentBytes,
        deferredRounds,
        tokenBucket.level(),
    )

    private fun rumourRound(now: Instant): List<GossipEffect> {
        nextSoftStateRound = now + settings.softStateRoundPeriod
        val peers = peerSelector.forRumours(now)
        val keys = rumours.keys()
        return peers.map { exchange(it.host, rumourRequest(keys)) }
    }

    private fun rumourRequest(keys: List<EntryKey>): ExchangeRequest {
        val entries = mutableListOf<Entry>()
        val announced = mutableListOf<EntryDigest>()
        var remainingBytes = settings.maxMessageBytes
        for (key in keys) {
            val entry = table.get(key) ?: continue
            if (remainingBytes <= 0) break
            if (entry.value.size <=
                settings.maxInlineBytes
            ) {
                entries += entry
            } else {
                announced += entry.digest
            }
            remainingBytes -=
                MessageSize.of(entry) - maxOf(0, entry.value.size - settings.maxInlineBytes)
            rumours.onSent(key)
        }
        return ExchangeRequest(
            settings.host,
            entries.toImmutableList(),
            announced.toImmutableList(),
        )
    }

    private fun antiEntropyRound(now: Instant): List<GossipEffect> {
        nextAntiEntropy = now + settings.antiEntropyPeriod
        val peer = peerSelector.forAntiEntropy(now) ?: return emptyList()
        return listOf(
            exchange(peer.host, ExchangeRequest(settings.host, nodes = antiEntropy.rootHashes())),
        )
    }

    /** Requests the remainder of a truncated reply from a randomly selected peer. */
    private fun fetchRemainder(request: ExchangeRequest, now: Instant): List<GossipEffect> {
        val nodes = request.listings.map { it.node }
        if (nodes.isEmpty()) return antiEntropyRound(now)
        val peer = peerSelector.forAntiEntropy(now) ?: return emptyList()
        val next = ExchangeRequest(settings.host, nodes = antiEntropy.hashes(nodes))
        return listOf(exchange(peer.host, next))
    }

    /**
     * Stores the entries that are newer and returns them. Also forwards them as rumours, unless
     * there are so many that this host must have been behind and the others know them.
     */
    private fun apply(entries: List<Entry>, now: Instant): List<Entry> {
        val applied = entries.filter { table.put(it, now) }
        val isIncremental = applied.size <= MAX_RUMOURS_PER_MESSAGE
        for (entry in applied) {
            pendingFetches.onReceived(entry.key)
            val isGlobal = entry.key.kind.scope == EntryScope.EVERYWHERE
            if (isIncremental && isGlobal) rumours.add(entry)
        }
        return applied
    }

    private fun knownPositions(request: ExchangeRequest): ImmutableList<Int> {
        val digests = request.entries.map { it.digest } + request.announced
        return digests.indices
            .filter { table.version(digests[it].key) >= digests[it].version }
            .toImmutableList()
    }

    private fun recordKnown(request: ExchangeRequest, reply: ExchangeReply) {
        val digests = request.entries.map { it.digest } + request.announced
        reply.known.mapNotNull { digests.getOrNull(it) }.forEach { rumours.onKnown(it) }
    }

    private class SizedBatch(val entries: ImmutableList<Entry>, val truncated: Boolean)

    /**
     * Returns the entries that fit into one message and the rate limit. An entry may exceed the
     * remaining room, so that at least one is included if there is any room.
     */
    private fun fitToBudget(entries: List<Entry>, now: Instant): SizedBatch {
        if (entries.isEmpty()) return SizedBatch(persistentListOf(), false)
        var remainingBytes = minOf(settings.maxMessageBytes.toLong(), tokenBucket.available(now))
        if (remainingBytes <= 0) return SizedBatch(persistentListOf(), true)
        val included = entries.sortedBy { it.key.kind.ordinal }.takeWhile { entry ->
            val before = remainingBytes
            remainingBytes -= MessageSize.of(entry)
            before > 0
        }
        return SizedBatch(included.toImmutableList(), included.size < entries.size)
    }

    private fun expire(now: Instant) {
        if (now < nextExpiry) return
        nextExpiry = now + EXPIRY_PERIOD
        table.expire(now - settings.softStateTtl, now - settings.tombstoneRetention, now)
        pendingFetches.expire(now)
    }

    private fun appliedEffect(applied: List<Entry>): List<GossipEffect> = if (applied.isEmpty()) {
        emptyList()
    } else {
        listOf(
            GossipEffect.Applied(applied.toImmutableList()),
        )
    }

    private fun exchange(to: HostId, request: ExchangeRequest): GossipEffect {
        tokenBucket.spend(MessageSize.of(request))
        return GossipEffect.SendExchange(to, request)
    }

    private fun push(to: HostId, entries: List<Entry>): GossipEffect {
        val request = PushRequest(settings.host, entries.toImmutableList())
        tokenBucket.spend(MessageSize.of(request))
        return GossipEffect.SendPush(to, request)
    }

    private companion object {
        val EXPIRY_PERIOD = 5.seconds

        /** Newer entries in one message up to which they are forwarded as rumours. */
        const val MAX_RUMOURS_PER_MESSAGE = 32
    }
}
