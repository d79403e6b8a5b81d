/** Order of waiting requests. */
package burdockspread.admission

/**
 * Requests run in the order of [rankMillis]: arrival plus a step for each priority level and for
 * each waiting request of the same organisation. A request is overtaken only by what arrives
 * within these steps, so that none starves.
 */
internal data class QueueKey(val rankMillis: Long, val sequence: Long) : Comparable<QueueKey> {
    override fun compareTo(other: QueueKey): Int {
        val byRank = rankMillis.compareTo(other.rankMillis)
        return if (byRank != 0) byRank else sequence.compareTo(other.sequence)
    }
}
