/** Accounts of the shares that an allocator has granted of one organisation's limit. */
package burdockspread.limit

/**
 * Divides an amount between holders so that the sum of their valid grants never exceeds it.
 *
 * The committed amount of a holder is the largest of its grants that it may still use. A reduced
 * grant takes effect only when the holder confirms that it obeys it or when the larger one has
 * expired; only then is the difference granted to others. A holder with any demand gets at least
 * [minGrant] while any amount is left. Times are in milliseconds of this host's clock.
 */
internal class ShareLedger<K : Any>(
    createdMillis: Long,
    private val lifetimeMillis: Long,
    private val minGrant: Int = 0,
    private val addSurplus: Boolean = false,
) {
    private val holders = LinkedHashMap<K, Holder>()
    private val recoveryUntilMillis = createdMillis + lifetimeMillis
    private var lastNumber = 0L

    /** Returns the sum of the amounts that the holders may use at most. */
    fun committed(nowMillis: Long): Int = holders.values.sumOf { it.committed(nowMillis) }

    /** Returns the sum of the holders' demands. */
    fun demand(nowMillis: Long): Int {
        removeExpired(nowMillis)
        return minOf(holders.values.sumOf { it.demand.toLong() }, MAX_DEMAND).toInt()
    }

    /**
     * Processes the report of the holder [key] and grants it a share of [total] that expires at
     * [untilMillis] at the latest.
     *
     * A new ledger does not know the grants of its predecessor. During the first lifetime it only
     * confirms the amounts that holders report and grants nothing beyond them.
     */
    fun grant(
        key: K,
        report: ShareReport,
        total: Int,
        untilMillis: Long,
        nowMillis: Long,
    ): ShareGrant {
        removeExpired(nowMillis)
        val holder = holders.getOrPut(key) { Holder() }
        holder.onReport(report, nowMillis)
        if (report.holds > holder.committed(nowMillis)) {
            holder.outstanding += OutstandingGrant(0, report.holds, nowMillis + lifetimeMillis)
        }
        val others = committed(nowMillis) - holder.committed(nowMillis)
        val free = maxOf(total - others, 0)
        val wanted = if (nowMillis < recoveryUntilMillis) {
            minOf(report.holds, report.demand)
        } else {
            maxOf(fairShare(report.demand, total), minOf(minGrant, report.demand)) +
                surplusShare(total)
        }
        val until = minOf(nowMillis + lifetimeMillis, untilMillis)
        val grant = OutstandingGrant(++lastNumber, minOf(wanted, free), until)
        holder.outstanding += grant
        val lifetime = maxOf(until - nowMillis, 0)
        return ShareGrant(report.organisation, grant.amount, grant.number, lifetime)
    }

    /** Returns an even share of the unrequested amount, so that sudden demand finds it close by. */
    private fun surplusShare(total: Int): Int {
        if (!addSurplus) return 0
        val requested = holders.values.sumOf { minOf(it.demand, total).toLong() }
        return (maxOf(total - requested, 0) / holders.size).toInt()
    }

    /** Removes holders that stopped reporting and whose grants have expired. */
    private fun removeExpired(nowMillis: Long) {
        holders.values.removeIf { it.isExpired(nowMillis) }
    }

    /** Returns the max-min fair share of [total] for a holder with [demand]. */
    private fun fairShare(demand: Int, total: Int): Int {
        var remaining = total
        var remainingHolders = holders.size
        for (other in holders.values.map { it.demand }.sorted()) {
            val evenShare = remaining / remainingHolders
            if (other >= evenShare) return minOf(demand, evenShare)
            if (other >= demand) return demand
            remaining -= other
            remainingHolders--
        }
        return demand
    }

    private class OutstandingGrant(val number: Long, val amount: Int, val untilMillis: Long)

    private class Holder {
        val outstanding = ArrayList<OutstandingGrant>()
        var demand = 0
        private var lastReportMillis = 0L

        fun onReport(report: ShareReport, nowMillis: Long) {
            demand = report.demand
            lastReportMillis = nowMillis
            outstanding.removeIf { it.number < report.obeyed || it.untilMillis <= nowMillis }
        }

        fun committed(nowMillis: Long): Int =
            outstanding.maxOfOrNull { if (it.untilMillis > nowMillis) it.amount else 0 } ?: 0

        fun isExpired(nowMillis: Long): Boolean =
            committed(nowMillis) == 0 && nowMillis - lastReportMillis > HOLDER_EXPIRY_MILLIS
    }

    private companion object {
        const val MAX_DEMAND = 10L * ShareUnits.WHOLE
        const val HOLDER_EXPIRY_MILLIS = 4_000L
    }
}
