/** Simulation in virtual time of how edits reach all hosts. */
package burdockspread.bench.document

import org.HdrHistogram.Histogram
import java.util.PriorityQueue
import kotlin.random.Random

/** How hosts receive edits. */
internal enum class Delivery {
    /** Every host watches the store. */
    WATCH_BY_ALL,

    /** Relays watch the store; the others request what their peers announce. */
    RELAYS,
}

/**
 * Times until the last host received an edit, in ms, and bytes sent by hosts.
 *
 * @property bytesPerSecond mean bytes sent per host and second.
 */
internal data class FanOutResult(
    val p50: Double,
    val max: Double,
    val bytesPerSecond: Double,
    val busiestBytesPerSecond: Double,
)

/**
 * Models dissemination as announcements to a few peers per round, each answered by a request if
 * the peer lacks the entry. A host's sends are limited to a byte budget; excess sends are delayed.
 */
internal class FanOut(
    private val size: FleetSize,
    private val delivery: Delivery,
    private val entryBytes: Int,
    private val storeBytesPerSecond: Double,
    seed: Int,
) {
    private val random = Random(seed)
    private val domainOf = IntArray(size.hosts) { it % size.domains }
    private val membersOf =
        List(size.domains) { d -> (d until size.hosts step size.domains).toList() }
    private val queue = PriorityQueue<Event>(compareBy({ it.at }, { it.order }))
    private var nextOrder = 0L
    private val edits = ArrayList<EditProgress>()
    private val hosts = List(size.hosts) { Host() }

    private class Event(val at: Double, val order: Long, val run: (Double) -> Unit)

    private class Host {
        val sent = HashMap<Int, Int>()
        var sendableAt = 0.0
        var bytes = 0L
    }

    private inner class EditProgress(val start: Double) {
        val hasEdit = BooleanArray(size.hosts)
        var remaining = size.hosts
        var end = 0.0
    }

    /** Runs edits at [editsPerSecond] for [seconds]. */
    fun run(editsPerSecond: Double, seconds: Int): FanOutResult {
        var at = 0.0
        while (true) {
            at += -Math.log(1 - random.nextDouble()) / editsPerSecond * MS_PER_SECOND
            if (at > seconds * MS_PER_SECOND) break
            schedule(at) { now -> accept(now) }
        }
        while (true) {
            val event = queue.poll() ?: break
            event.run(event.at)
        }
        val histogram = Histogram(3)
        edits.forEach { histogram.recordValue((it.end - it.start).toLong()) }
        check(edits.all { it.remaining == 0 }) { "an edit did not reach all hosts" }
        return FanOutResult(
            histogram.getValueAtPercentile(50.0).toDouble(),
            histogram.maxValue.toDouble(),
            hosts.sumOf { it.bytes }.toDouble() / size.hosts / seconds,
            hosts.maxOf { it.bytes }.toDouble() / seconds,
        )
    }

    private fun accept(now: Double) {
        val progress = EditProgress(now)
        val id = edits.size
        edits += progress
        val watchers = when (delivery) {
            Delivery.WATCH_BY_ALL -> (0 until size.hosts).toList()
            Delivery.RELAYS -> membersOf.flatMap { it.shuffled(random).take(RELAYS_PER_DOMAIN) }
        }
        watchers.forEachIndexed { i, host ->
            val transferMs = (i + 1) * entryBytes / storeBytesPerSecond * MS_PER_SECOND
            schedule(now + STORE_DELAY_MS + transferMs) { onReceived(id, host, it) }
        }
    }

    private fun onReceived(id: Int, host: Int, now: Double) {
        val progress = edits[id]
        if (progress.hasEdit[host]) return
        progress.hasEdit[host] = true
        progress.remaining--
        progress.end = now
        if (delivery == Delivery.RELAYS) schedule(nextRound(now)) { announce(id, host, it) }
    }

    private fun announce(id: Int, host: Int, now: Double) {
        val rounds = hosts[host].sent.merge(id, 1, Int::plus) ?: 0
        val members = membersOf[domainOf[host]]
        val peers = List(DOMAIN_FANOUT) { members.random(random) } + random.nextInt(size.hosts)
        for (peer in peers.filter { it != host }) {
            hosts[host].bytes += ANNOUNCE_BYTES
            schedule(now + delayMs(host, peer)) { request(id, host, peer, it) }
        }
        if (rounds < ANNOUNCE_ROUNDS) schedule(now + ROUND_MS) { announce(id, host, it) }
    }

    private fun request(id: Int, owner: Int, peer: Int, now: Double) {
        if (edits[id].hasEdit[peer]) return
        hosts[peer].bytes += ANNOUNCE_BYTES
        schedule(now + delayMs(owner, peer)) { send(id, owner, peer, it) }
    }

    private fun send(id: Int, owner: Int, peer: Int, now: Double) {
        if (edits[id].hasEdit[peer]) return
        val host = hosts[owner]
        val cost = entryBytes / BUDGET_BYTES_PER_SECOND * MS_PER_SECOND
        // The budget left unused over the last BURST_MS may be sent as a burst.
        host.sendableAt = maxOf(host.sendableAt, now - BURST_MS) + cost
        host.bytes += entryBytes
        schedule(maxOf(now, host.sendableAt) + delayMs(owner, peer)) { onReceived(id, peer, it) }
    }

    private fun nextRound(now: Double): Double = now + random.nextDouble() * ROUND_MS

    private fun delayMs(a: Int, b: Int): Double = when {
        domainOf[a] == domainOf[b] -> DOMAIN_DELAY_MS
        else -> REMOTE_DELAY_MS
    }

    private fun schedule(at: Double, run: (Double) -> Unit) {
        queue += Event(at, nextOrder++, run)
    }

    companion object {
        const val MS_PER_SECOND = 1_000.0
        const val RELAYS_PER_DOMAIN = 2
        const val DOMAIN_FANOUT = 2
        const val ANNOUNCE_ROUNDS = 5
        const val ROUND_MS = 200.0
        const val STORE_DELAY_MS = 10.0
        const val DOMAIN_DELAY_MS = 0.3
        const val REMOTE_DELAY_MS = 40.0
        const val ANNOUNCE_BYTES = 40
        const val BURST_MS = 2_000.0

        /** A quarter of the 28 KB/s that a host may use for control traffic. */
        const val BUDGET_BYTES_PER_SECOND = 7_000.0
    }
}
