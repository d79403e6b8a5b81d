/** Waiting requests of one pool, without locks. */
package burdockspread.admission

import burdockspread.id.OrganisationId
import burdockspread.route.SendRing
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.ConcurrentSkipListMap
import java.util.concurrent.atomic.AtomicInteger

internal class PoolQueue(private val bound: Int) {
    private val tickets = ConcurrentSkipListMap<QueueKey, Ticket>()
    private val evicted = ConcurrentLinkedQueue<Ticket>()
    private val count = AtomicInteger()
    private val byOrganisation = ConcurrentHashMap<OrganisationId, Int>()
    private val starts = SendRing()

    val size: Int get() = count.get()

    /** Adds [ticket], in place of the last one when full; false when it would be the last. */
    fun add(ticket: Ticket): Boolean {
        if (count.incrementAndGet() > bound) {
            val last = tickets.lastEntry()?.value
            if (last == null || last.key < ticket.key || !remove(last)) {
                count.decrementAndGet()
                return false
            }
            evicted.add(last)
        }
        tickets[ticket.key] = ticket
        ticket.request.organisation?.let { byOrganisation.merge(it, 1, Int::plus) }
        return true
    }

    fun remove(ticket: Ticket): Boolean {
        if (!tickets.remove(ticket.key, ticket)) return false
        count.decrementAndGet()
        ticket.request.organisation?.let { id ->
            byOrganisation.computeIfPresent(id) { _, waiting -> (waiting - 1).takeIf { it > 0 } }
        }
        return true
    }

    /** Number of waiting requests of [organisation]. */
    fun waitingOf(organisation: OrganisationId?): Int =
        organisation?.let { byOrganisation[it] } ?: 0

    fun first(): Ticket? = tickets.firstEntry()?.value

    fun pollEvicted(): Ticket? = evicted.poll()

    /** Number of requests that run before [key]. */
    fun ahead(key: QueueKey): Int = tickets.headMap(key).size

    fun started(nowMillis: Long) = starts.add(1, nowMillis)

    /** Requests started per second over the last two seconds, or null when there were none. */
    fun startsPerSecond(nowMillis: Long): Double? {
        val recent = starts.since(nowMillis - RATE_WINDOW_MILLIS, nowMillis)
        return if (recent == 0) null else recent * MILLIS / RATE_WINDOW_MILLIS
    }

    private companion object {
        const val RATE_WINDOW_MILLIS = 2_000L
        const val MILLIS = 1_000.0
    }
}
