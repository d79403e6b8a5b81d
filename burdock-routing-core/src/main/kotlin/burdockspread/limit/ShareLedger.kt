/** Accounts of one organisation's limit at the host that divides it. */
package burdockspread.limit

/**
 * Divides an amount between holders so that what they may use never exceeds it.
 *
 * A holder is counted with the largest of its grants that it may still use. A smaller grant counts
 * only once the holder says that it obeys it or the larger one has ended, and only then is the
 * difference given to others. A holder that wants anything gets at least [quantum] while there is
 * any left. Times are in milliseconds of this host's clock.
 */
internal class ShareLedger<K : Any>(
    createdMillis: Long,
    private val lifetimeMillis: Long,
    private val quantum: Int = 0,
    private val spreadRest: Boolean = false,
) {
    private val holders = LinkedHashMap<K, Holder>()
    private val quietUntilMillis = createdMillis + lifetimeMillis
    private var lastNumber = 0L

    /** Sum of what the holders may use at most. */
    fun counted(nowMillis: Long): Int = holders.values.sumOf { it.counted(nowMillis) }

    /** Sum of the holders' demands. */
    fun demand(nowMillis: Long): Int {
        forget(nowMillis)
        return minOf(holders.values.sumOf { it.demand.toLong() }, MAX_DEMAND).toInt()
    }

    /**
     * Takes the report of [holder] and grants it a part of [total] until [untilMillis] at most.
     *
     * A new ledger does not know its predecessor's grants. For the time of one lifetime it only
     * confirms what holders say they have, and gives nothing more.
     */
    fun grant(
        key: K,
        report: ShareReport,
        total: Int,
        untilMillis: Long,
        nowMillis: Long,
    ): ShareGrant {
        forget(nowMillis)
        val holder = holders.getOrPut(key) { Holder() }
        holder.obey(report, nowMillis)
        if (report.holds > holder.counted(nowMillis)) {
            holder.outstanding += Outstanding(0, report.holds, nowMillis + lifetimeMillis)
        }
        val others = counted(nowMillis) - holder.counted(nowMillis)
        val free = maxOf(total - others, 0)
        val wanted = if (nowMillis < quietUntilMillis) {
            minOf(report.holds, report.demand)
        } else {
            maxOf(fairPart(report.demand, total), minOf(quantum, report.demand)) + restPart(total)
        }
        val until = minOf(nowMillis + lifetimeMillis, untilMillis)
        val grant = Outstanding(++lastNumber, minOf(wanted, free), until)
        holder.outstanding += grant
        val lifetime = maxOf(until - nowMillis, 0)
        return ShareGrant(report.organisation, grant.amount, grant.number, lifetime)
    }

    /** Even part of what nobody asks for, so that a sudden demand finds it near. */
    private fun restPart(total: Int): Int {
        if (!spreadRest) return 0
        val asked = holders.values.sumOf { minOf(it.demand, total).toLong() }
        return (maxOf(total - asked, 0) / holders.size).toInt()
    }

    /** Forgets holders that went silent and whose grants have ended. */
    private fun forget(nowMillis: Long) {
        holders.values.removeIf { it.forgettable(nowMillis) }
    }

    /** Max-min fair part of [total] for one holder that wants [demand]. */
    private fun fairPart(demand: Int, total: Int): Int {
        var left = total
        var count = holders.size
        for (other in holders.values.map { it.demand }.sorted()) {
            val even = left / count
            if (other >= even) return minOf(demand, even)
            if (other >= demand) return demand
            left -= other
            count--
        }
        return demand
    }

    private class Outstanding(val number: Long, val amount: Int, val untilMillis: Long)

    private class Holder {
        val outstanding = ArrayList<Outstanding>()
        var demand = 0
        private var seenMillis = 0L

        fun obey(report: ShareReport, nowMillis: Long) {
            demand = report.demand
            seenMillis = nowMillis
            outstanding.removeIf { it.number < report.obeyed || it.untilMillis <= nowMillis }
        }

        fun counted(nowMillis: Long): Int =
            outstanding.maxOfOrNull { if (it.untilMillis > nowMillis) it.amount else 0 } ?: 0

        fun forgettable(nowMillis: Long): Boolean =
            counted(nowMillis) == 0 && nowMillis - seenMillis > FORGET_MILLIS
    }

    private companion object {
        const val MAX_DEMAND = 10L * ShareUnits.WHOLE
        const val FORGET_MILLIS = 4_000L
    }
}
