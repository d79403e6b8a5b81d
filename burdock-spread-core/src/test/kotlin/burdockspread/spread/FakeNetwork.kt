/** Simulation of a network of gossip cores in virtual time, with seeded faults. */
package burdockspread.spread

import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import kotlinx.collections.immutable.toImmutableList
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Simulated hosts named `domain-index` and the messages between them, with faults.
 *
 * @property loss fraction of messages that are lost.
 * @property duplicates fraction of messages that are delivered twice, the second time up to 20 s
 * later.
 */
internal class FakeNetwork(
    seed: Int,
    domains: Int,
    perDomain: Int,
    private val loss: Double = 0.0,
    private val duplicates: Double = 0.0,
    private val settings: (GossipSettings) -> GossipSettings = { it },
) {
    private class Event(val at: Instant, val order: Int, val action: () -> Unit)

    val random = Random(seed)
    val peers = List(domains * perDomain) { i ->
        val domain = i / perDomain
        Peer(HostId("d$domain-h$i"), FailureDomainId("d$domain"), "r${domain / 2}")
    }
    val cores = LinkedHashMap<HostId, GossipCore>()
    val down = HashSet<HostId>()
    val partitioned = HashSet<FailureDomainId>()
    var now = Instant.fromEpochSeconds(1_000_000)
    var largestMessage = 0
        private set
    var onApplied: (HostId, Entry) -> Unit = { _, _ -> }
    private val highest = HashMap<HostId, HashMap<EntryKey, Long>>()
    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.order }))
    private val domainOf = peers.associate { it.host to it.domain }
    private var order = 0

    init {
        peers.forEach { start(it) }
        for (peer in peers) scheduleTicks(peer.host, random.nextInt(250).milliseconds)
    }

    /** Starts a process without any state on the host of [peer]. */
    fun start(peer: Peer) {
        val seeds = peers.shuffled(random).take(3).toImmutableList()
        val own = GossipSettings(peer, seeds, seed = random.nextLong())
        cores[peer.host] = RealGossipCore(settings(own)).also { core ->
            core.onPeers(peers.filter { it != peer }.toImmutableList())
        }
        highest[peer.host] = HashMap()
    }

    fun put(host: HostId, entry: Entry) {
        val core = cores.getValue(host)
        execute(host, core, core.putLocal(entry, now))
        core.entry(entry.key)?.let { checkNoRegression(host, it) }
    }

    fun run(duration: Duration) {
        val end = now + duration
        while (events.isNotEmpty() && events.peek().at <= end) {
            val event = events.remove()
            now = event.at
            event.action()
        }
        now = end
    }

    /** Runs until [done] returns true or [limit] has passed, and returns the elapsed time. */
    fun runUntil(limit: Duration, done: () -> Boolean): Duration {
        val start = now
        while (now - start < limit && !done()) run(STEP)
        return now - start
    }

    fun converged(): Boolean {
        val running = cores.filterKeys { it !in down }.values
        val views = running.map { core -> EntryKind.entries.map { core.entries(it).toSet() } }
        return views.distinct().size == 1
    }

    private fun scheduleTicks(host: HostId, phase: Duration) {
        at(phase) {
            val core = cores.getValue(host)
            if (host !in down) execute(host, core, core.tick(now))
            scheduleTicks(host, STEP)
        }
    }

    private fun execute(host: HostId, core: GossipCore, effects: List<GossipEffect>) {
        for (effect in effects) {
            when (effect) {
                is GossipEffect.Applied -> effect.entries.forEach {
                    checkNoRegression(host, it)
                    onApplied(host, it)
                }
                is GossipEffect.SendPush -> send(host, core, effect.to) { receiver ->
                    largestMessage = maxOf(largestMessage, MessageSize.of(effect.request))
                    execute(effect.to, receiver, receiver.onPush(effect.request, now))
                }
                is GossipEffect.SendExchange -> send(host, core, effect.to) { receiver ->
                    val handled = receiver.onExchange(effect.request, now)
                    val size = maxOf(MessageSize.of(effect.request), MessageSize.of(handled.reply))
                    largestMessage = maxOf(largestMessage, size)
                    execute(effect.to, receiver, handled.effects)
                    send(effect.to, receiver, host) { sender ->
                        val request = effect.request
                        execute(
                            host,
                            sender,
                            sender.onReply(effect.to, request, handled.reply, now),
                        )
                    }
                }
            }
        }
    }

    private fun send(from: HostId, sender: GossipCore, to: HostId, receive: (GossipCore) -> Unit) {
        if (to in down || isPartitioned(from, to) || random.nextDouble() < loss) {
            at(1.seconds) { if (from !in down) sender.onFailure(to, now) }
            return
        }
        val deliver = { if (to !in down && !isPartitioned(from, to)) receive(cores.getValue(to)) }
        at(random.nextInt(1, 60).milliseconds, deliver)
        if (random.nextDouble() < duplicates) at(random.nextInt(20_000).milliseconds, deliver)
    }

    private fun isPartitioned(a: HostId, b: HostId): Boolean =
        domainOf[a] != domainOf[b] && (domainOf[a] in partitioned || domainOf[b] in partitioned)

    private fun checkNoRegression(host: HostId, entry: Entry) {
        val versions = highest.getValue(host)
        val before = versions[entry.key] ?: Long.MIN_VALUE
        check(entry.version >= before) { "$host went back from version $before to $entry" }
        versions[entry.key] = entry.version
    }

    private fun at(delay: Duration, action: () -> Unit) {
        events += Event(now + delay, order++, action)
    }

    private companion object {
        val STEP = 250.milliseconds
    }
}
