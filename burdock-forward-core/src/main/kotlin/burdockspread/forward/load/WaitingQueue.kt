/** Demands that wait for room. */
package burdockspread.forward.load

import kotlin.time.Instant

/** Orders waiting demands: resumes first, then by priority, then in order of arrival. */
internal class WaitingQueue {
    private val waiting = LinkedHashMap<Long, Demand>()

    val size: Int get() = waiting.size

    fun add(demand: Demand) {
        waiting[demand.ticket] = demand
    }

    fun remove(ticket: Long): Boolean = waiting.remove(ticket) != null

    /** Whether nothing that waits comes before [demand]. */
    fun mayOvertake(demand: Demand): Boolean =
        waiting.values.none { ORDER.compare(it, demand) <= 0 }

    /** Takes out the demands whose wait is over. */
    fun expired(now: Instant): List<Demand> {
        val late = waiting.values.filter { now >= it.waitUntil }
        late.forEach { waiting.remove(it.ticket) }
        return late
    }

    fun inOrder(): List<Demand> = waiting.values.sortedWith(ORDER)

    private companion object {
        val ORDER: Comparator<Demand> = compareBy({ !it.resume }, { it.priority })
    }
}
