/** Queue of requests that wait for capacity. */
package burdockspread.forward.load

import kotlin.time.Instant

/** Orders queued requests: resumes first, then by priority, then by arrival. */
internal class WaitingQueue {
    private val waiting = LinkedHashMap<Long, PlacementRequest>()

    val size: Int get() = waiting.size

    fun add(request: PlacementRequest) {
        waiting[request.localId] = request
    }

    fun remove(localId: Long): Boolean = waiting.remove(localId) != null

    /**
     * Returns whether no queued request comes before [request]. One that supersedes an attempt is
     * served meanwhile and holds up no other.
     */
    fun canOvertake(request: PlacementRequest): Boolean =
        waiting.values.none { it.supersedes == null && ORDER.compare(it, request) <= 0 }

    /** Removes and returns the requests whose wait has ended. */
    fun expired(now: Instant): List<PlacementRequest> {
        val overdue = waiting.values.filter { now >= it.waitUntil }
        overdue.forEach { waiting.remove(it.localId) }
        return overdue
    }

    fun inOrder(): List<PlacementRequest> = waiting.values.sortedWith(ORDER)

    private companion object {
        val ORDER: Comparator<PlacementRequest> = compareBy({ !it.isResume }, { it.priority })
    }
}
