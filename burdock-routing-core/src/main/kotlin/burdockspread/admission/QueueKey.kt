/** Sort key of queued requests. */
package burdockspread.admission

/**
 * Queued requests run in the order of [rankMillis]: arrival time plus a step for each priority
 * level and for each queued request of the same organisation. Only requests that arrive within
 * these steps can overtake an earlier one, which prevents starvation.
 */
internal data class QueueKey(val rankMillis: Long, val sequence: Long) : Comparable<QueueKey> {
    override fun compareTo(other: QueueKey): Int {
        val byRank = rankMillis.compareTo(other.rankMillis)
        return if (byRank != 0) byRank else sequence.compareTo(other.sequence)
    }
}
