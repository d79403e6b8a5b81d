/** Lock-free bounded priority queue of the requests waiting for one pool. */
package burdockspread.admission

import burdockspread.id.OrganisationId
import burdockspread.route.SlidingWindowCounter
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.ConcurrentSkipListMap
import java.util.concurrent.atomic.AtomicInteger

internal class PoolQueue(private val maxLength: Int) {
    private val requests = ConcurrentSkipListMap<QueueKey, QueuedRequest>()
    private val evicted = ConcurrentLinkedQueue<QueuedRequest>()
    private val count = AtomicInteger()
    private val byOrganisation = ConcurrentHashMap<OrganisationId, Int>()
    private val starts = SlidingWindowCounter()

    val size: Int get() = count.get()

    /**
     * Adds [queued] and evicts the last entry if the queue is full. Returns false if [queued] would
     * be the last entry of a full queue.
     */
    fun add(queued: QueuedRequest): Boolean {
        if (count.incrementAndGet() > maxLength) {
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

    /** Returns the number of queued requests of [organisation]. */
    fun queuedCount(organisation: OrganisationId?): Int =
        organisation?.let { byOrganisation[it] } ?: 0

    fun first(): QueuedRequest? = requests.firstEntry()?.value

    fun pollEvicted(): QueuedRequest? = evicted.poll()

    /** Returns the number of requests that run before [key]. */
    fun countAhead(key: QueueKey): Int = requests.headMap(key).size

    fun onStarted(nowMillis: Long) = starts.add(1, nowMillis)

    /** Returns the requests started per second over the last two seconds, or null if none were. */
    fun startsPerSecond(nowMillis: Long): Double? {
        val recent = starts.sumSince(nowMillis - RATE_WINDOW_MILLIS, nowMillis)
        return if (recent == 0) null else recent * MILLIS_PER_SECOND / RATE_WINDOW_MILLIS
    }

    private companion object {
        const val RATE_WINDOW_MILLIS = 2_000L
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
