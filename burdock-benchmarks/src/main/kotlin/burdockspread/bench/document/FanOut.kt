/** Spread of edits from relays to all hosts in virtual time. */
package burdockspread.bench.document

import org.HdrHistogram.Histogram
import java.util.PriorityQueue
import kotlin.random.Random

/** How hosts get edits. */
internal enum class Delivery {
    /** Every host watches the store. */
    WATCH_BY_ALL,

    /** Relays watch and the others ask for what their peers announce. */
    RELAYS,
}

/**
 * Times until the last host had an edit, in ms, and bytes that the busiest host sent.
 *
 * @property bytesPerSecond mean bytes sent by a host in a second.
 */
internal data class FanOutResult(
    val p50: Double,
    val max: Double,
    val bytesPerSecond: Double,
    val busiestBytesPerSecond: Double,
)

/**
 * Models the spread as announcements to a few peers in each round and a request by a host that
 * lacks the entry. A host sends at most its budget; what exceeds it waits for the next round.
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
    private var order = 0L
    private val edits = ArrayList<Spread>()
    private val hosts = List(size.hosts) { Host() }

    private class Event(val at: Double, val order: Long, val run: (Double) -> Unit)

    private class Host {
        val sent = HashMap<Int, Int>()
        var freeAt = 0.0
        var bytes = 0L
    }

    private inner class Spread(val start: Double) {
        val has = BooleanArray(size.hosts)
        var left = size.hosts
        var end = 0.0
    }

    /** Runs edits at [editsPerSecond] for [seconds]. */
    fun run(editsPerSecond: Double, seconds: Int): FanOutResult {
        var at = 0.0
        while (true) {
            at += -Math.log(1 - random.nextDouble()) / editsPerSecond * MS
            if (at > seconds * MS) break
            schedule(at) { now -> accept(now) }
        }
        while (true) {
            val event = queue.poll() ?: break
            event.run(event.at)
        }
        val histogram = Histogram(3)
        edits.forEach { histogram.recordValue((it.end - it.start).toLong()) }
        check(edits.all { it.left == 0 }) { "an edit did not reach all hosts" }
        return FanOutResult(
            histogram.getValueAtPercentile(50.0).toDouble(),
            histogram.maxValue.toDouble(),
            hosts.sumOf { it.bytes }.toDouble() / size.hosts / seconds,
            hosts.maxOf { it.bytes }.toDouble() / seconds,
        )
    }

    private fun accept(now: Double) {
        val spread = Spread(now)
        val id = edits.size
        edits += spread
        val watchers = when (delivery) {
            Delivery.WATCH_BY_ALL -> (0 until size.hosts).toList()
            Delivery.RELAYS -> membersOf.flatMap { it.shuffled(random).take(RELAYS) }
        }
        watchers.forEachIndexed { i, host ->
            val sentAfter = (i + 1) * entryBytes / storeBytesPerSecond * MS
            schedule(now + STORE_MS + sentAfter) { arrive(id, host, it) }
        }
    }

    private fun arrive(id: Int, host: Int, now: Double) {
        val spread = edits[id]
        if (spread.has[host]) return
        spread.has[host] = true
        spread.left--
        spread.end = now
        if (delivery == Delivery.RELAYS) schedule(nextRound(now)) { announce(id, host, it) }
    }

    private fun announce(id: Int, host: Int, now: Double) {
        val rounds = hosts[host].sent.merge(id, 1, Int::plus) ?: 0
        val members = membersOf[domainOf[host]]
        val peers = List(NEAR) { members.random(random) } + random.nextInt(size.hosts)
        for (peer in peers.filter { it != host }) {
            hosts[host].bytes += ANNOUNCE_BYTES
            schedule(now + delay(host, peer)) { request(id, host, peer, it) }
        }
        if (rounds < ROUNDS) schedule(now + ROUND_MS) { announce(id, host, it) }
    }

    private fun request(id: Int, owner: Int, peer: Int, now: Double) {
        if (edits[id].has[peer]) return
        hosts[peer].bytes += ANNOUNCE_BYTES
        schedule(now + delay(owner, peer)) { send(id, owner, peer, it) }
    }

    private fun send(id: Int, owner: Int, peer: Int, now: Double) {
        if (edits[id].has[peer]) return
        val host = hosts[owner]
        val cost = entryBytes / BUDGET_BYTES_PER_SECOND * MS
        // Bytes unspent in the last BURST_MS may be sent at once.
        host.freeAt = maxOf(host.freeAt, now - BURST_MS) + cost
        host.bytes += entryBytes
        schedule(maxOf(now, host.freeAt) + delay(owner, peer)) { arrive(id, peer, it) }
    }

    private fun nextRound(now: Double): Double = now + random.nextDouble() * ROUND_MS

    private fun delay(a: Int, b: Int): Double = when {
        domainOf[a] == domainOf[b] -> NEAR_MS
        else -> FAR_MS
    }

    private fun schedule(at: Double, run: (Double) -> Unit) {
        queue += Event(at, order++, run)
    }

    companion object {
        const val MS = 1_000.0
        const val RELAYS = 2
        const val NEAR = 2
        const val ROUNDS = 5
        const val ROUND_MS = 200.0
        const val STORE_MS = 10.0
        const val NEAR_MS = 0.3
        const val FAR_MS = 40.0
        const val ANNOUNCE_BYTES = 40
        const val BURST_MS = 2_000.0

        /** A quarter of the 28 KB/s that a host may spend on control. */
        const val BUDGET_BYTES_PER_SECOND = 7_000.0
    }
}
