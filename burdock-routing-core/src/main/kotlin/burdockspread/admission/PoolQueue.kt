/** Waiting requests of one pool, without locks. */
package burdockspread.admission

import burdockspread.id.OrganisationId
import burdockspread.route.SendRing
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.ConcurrentSkipListMap
import java.util.concurrent.atomic.AtomicInteger

internal class PoolQueue(private val bound: Int) {
    private val requests = ConcurrentSkipListMap<QueueKey, QueuedRequest>()
    private val evicted = ConcurrentLinkedQueue<QueuedRequest>()
    private val count = AtomicInteger()
    private val byOrganisation = ConcurrentHashMap<OrganisationId, Int>()
    private val starts = SendRing()

    val size: Int get() = count.get()

    /** Adds [queued], in place of the last one when full; false when it would be the last. */
    fun add(queued: QueuedRequest): Boolean {
        if (count.incrementAndGet() > bound) {
            val last = requests.lastEntry()?.value
            if (last == null || last.key < queued.key || !remove(last)) {
                count.decrementAndGet()
                return false
            }
            evicted.add(last)
        }
        requests[queued.key] = queued
        queued.request.organisation?.let { byOrganisation.merge(it, 1, Int::plus) }
        return true
    }

    fun remove(queued: QueuedRequest): Boolean {
        if (!requests.remove(queued.key, queued)) return false
        count.decrementAndGet()
        queued.request.organisation?.let { id ->
            byOrganisation.computeIfPresent(id) { _, waiting -> (waiting - 1).takeIf { it > 0 } }
        }
        return true
    }

    /** Number of waiting requests of [organisation]. */
    fun waitingOf(organisation: OrganisationId?): Int =
        organisation?.let { byOrganisation[it] } ?: 0

    fun first(): QueuedRequest? = requests.firstEntry()?.value

    fun pollEvicted(): QueuedRequest? = evicted.poll()

    /** Number of requests that run before [key]. */
    fun ahead(key: QueueKey): Int = requests.headMap(key).size

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
