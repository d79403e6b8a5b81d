/** Simulates the gossip cores of a whole fleet in one process and in virtual time. */
package burdockspread.bench.spread

import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import burdockspread.spread.Entry
import burdockspread.spread.EntryKind
import burdockspread.spread.GossipCore
import burdockspread.spread.GossipEffect
import burdockspread.spread.MessageSize
import burdockspread.spread.Peer
import kotlinx.collections.immutable.toImmutableList
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Creates the gossip core of a host; [seeds] are the peers that it contacts first. */
internal fun interface CoreFactory {
    fun create(self: Peer, seeds: List<Peer>, seed: Long): GossipCore
}

/** The hosts, the messages in flight and the bytes that each host sent and received. */
internal class VirtualFleet(
    val fleet: Fleet,
    private val coreFactory: CoreFactory,
    seed: Int,
    private val loss: Double = 0.0,
) {
    private class Event(val at: Long, val order: Long, val action: () -> Unit)

    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.order }))
    private val peersByHost = fleet.peers.associateBy { it.host }
    private val start = Instant.fromEpochSeconds(1_000_000)
    private var nanos = 0L
    private var nextOrder = 0L
    private val down = HashSet<HostId>()

    /** Failure domains that are partitioned from all others. */
    val partitioned = HashSet<FailureDomainId>()

    val cores = LinkedHashMap<HostId, GossipCore>()
    val bytes = HashMap<HostId, Long>()
    var messages = 0L
        private set
    var largestMessage = 0
        private set
    var onApplied: (HostId, Entry) -> Unit = { _, _ -> }

    val now: Instant get() = start + nanos.nanoseconds
    val elapsed: Duration get() = now - start

    init {
        fleet.peers.forEach { startCore(it) }
        fleet.peers.forEach { scheduleTick(it.host, random.nextInt(TICK_MS).milliseconds) }
    }

    /** Takes [peer] down for [outage], then starts a new process with no state but its seeds. */
    fun replace(peer: Peer, outage: Duration) {
        down += peer.host
        after(outage) {
            startCore(peer)
            down -= peer.host
        }
    }

    fun put(host: HostId, entry: Entry) {
        if (host in down) return
        execute(host, cores.getValue(host).putLocal(entry, now))
    }

    fun after(delay: Duration, action: () -> Unit) {
        events += Event(nanos + delay.inWholeNanoseconds, nextOrder++, action)
    }

    fun every(period: Duration, action: () -> Unit) {
        after(period) {
            action()
            every(period, action)
        }
    }

    fun run(duration: Duration) {
        val end = nanos + duration.inWholeNanoseconds
        while (events.isNotEmpty() && events.peek().at <= end) {
            val event = events.remove()
            nanos = event.at
            event.action()
        }
        nanos = end
    }

    /** Returns whether all hosts hold the same versions of the document sections. */
    fun hasConverged(): Boolean {
        val views = cores.values.map { core ->
            core.entries(EntryKind.SECTION).mapTo(HashSet()) { it.digest }
        }
        return views.all { it == views.first() }
    }

    private fun startCore(peer: Peer) {
        val seeds = fleet.peers.shuffled(random).take(SEEDS)
        val core = coreFactory.create(peer, seeds, random.nextLong())
        core.onPeers(fleet.peers.filter { it != peer }.toImmutableList())
        cores[peer.host] = core
    }

    private fun scheduleTick(host: HostId, delay: Duration) {
        after(delay) {
            if (host !in down) execute(host, cores.getValue(host).tick(now))
            scheduleTick(host, TICK_MS.milliseconds)
        }
    }

    private fun execute(host: HostId, effects: List<GossipEffect>) {
        for (effect in effects) {
            when (effect) {
                is GossipEffect.Applied -> effect.entries.forEach { onApplied(host, it) }
                is GossipEffect.SendPush -> send(host, effect.to, MessageSize.of(effect.request)) {
                    execute(effect.to, it.onPush(effect.request, now))
                }
                is GossipEffect.SendExchange -> exchange(host, effect)
            }
        }
    }

    private fun exchange(host: HostId, effect: GossipEffect.SendExchange) {
        val to = effect.to
        send(host, to, MessageSize.of(effect.request)) { receiver ->
            val handled = receiver.onExchange(effect.request, now)
            execute(to, handled.effects)
            send(to, host, MessageSize.of(handled.reply)) { sender ->
                execute(host, sender.onReply(to, effect.request, handled.reply, now))
            }
        }
    }

    private fun send(from: HostId, to: HostId, size: Int, onReceived: (GossipCore) -> Unit) {
        messages++
        largestMessage = maxOf(largestMessage, size)
        bytes.merge(from, size.toLong(), Long::plus)
        if (to in down || isPartitioned(from, to) || random.nextDouble() < loss) {
            after(1.seconds) { cores.getValue(from).onFailure(to, now) }
            return
        }
        bytes.merge(to, size.toLong(), Long::plus)
        after(fleet.delay(peersByHost.getValue(from), peersByHost.getValue(to))) {
            if (to !in down) onReceived(cores.getValue(to))
        }
    }

    private fun isPartitioned(a: HostId, b: HostId): Boolean {
        val from = peersByHost.getValue(a).domain
        val to = peersByHost.getValue(b).domain
        return from != to && (from in partitioned || to in partitioned)
    }

    private companion object {
        const val TICK_MS = 250
        const val SEEDS = 3
    }
}
