/** Demands that wait for room. */
package burdockspread.forward.load

import kotlin.time.Instant

/** Orders waiting demands: resumes first, then by priority, then in order of arrival. */
internal class WaitingQueue {
    private val waiting = LinkedHashMap<Long, PlacementRequest>()

    val size: Int get() = waiting.size

    fun add(request: PlacementRequest) {
        waiting[request.localId] = request
    }

    fun remove(localId: Long): Boolean = waiting.remove(localId) != null

    /** Whether nothing that waits comes before [request]. */
    fun mayOvertake(request: PlacementRequest): Boolean =
        waiting.values.none { ORDER.compare(it, request) <= 0 }

    /** Takes out the demands whose wait is over. */
    fun expired(now: Instant): List<PlacementRequest> {
        val late = waiting.values.filter { now >= it.waitUntil }
        late.forEach { waiting.remove(it.localId) }
        return late
    }

    fun inOrder(): List<PlacementRequest> = waiting.values.sortedWith(ORDER)

    private companion object {
        val ORDER: Comparator<PlacementRequest> = compareBy({ !it.isResume }, { it.priority })
    }
}
