/** Order of waiting requests. */
package burdockspread.admission

/**
 * Requests run in the order of [rankMillis]: arrival plus a step for each priority level, so that a
 * lower level is overtaken only by what arrives within its step.
 */
internal data class QueueKey(val rankMillis: Long, val sequence: Long) : Comparable<QueueKey> {
    override fun compareTo(other: QueueKey): Int {
        val byRank = rankMillis.compareTo(other.rankMillis)
        return if (byRank != 0) byRank else sequence.compareTo(other.sequence)
    }
}
