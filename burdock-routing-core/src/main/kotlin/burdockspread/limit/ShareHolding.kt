/** Share of one organisation's limit that a host or failure domain holds. */
package burdockspread.limit

import burdockspread.id.HostId

/** State of a holder towards its allocator. */
internal class ShareHolding {
    private var allocator: HostId? = null
    private var reportedDemand = 0
    private var reportedMillis = 0L
    private var unansweredSinceMillis: Long? = null
    private var isReductionUnconfirmed = false
    var amount = 0
        private set
    var untilMillis = 0L
        private set
    var number = 0L
        private set

    /** Returns the amount that may be used now. */
    fun usable(nowMillis: Long): Int = if (nowMillis < untilMillis) amount else 0

    /** Accepts a grant for the report sent at [sentAtMillis]. Returns false if it is outdated. */
    fun accept(from: HostId, grant: ShareGrant, sentAtMillis: Long): Boolean {
        if (from != allocator || grant.number <= number) return false
        isReductionUnconfirmed = isReductionUnconfirmed || grant.amount < amount
        amount = grant.amount
        untilMillis = sentAtMillis + grant.lifetimeMillis
        number = grant.number
        unansweredSinceMillis = null
        return true
    }

    /** Returns whether a report with [demand] to [to] is due. */
    fun isReportDue(to: HostId, demand: Int, renewMillis: Long, nowMillis: Long): Boolean {
        if (to != allocator) return demand > 0 || usable(nowMillis) > 0
        if (isReductionUnconfirmed) return true
        if (demand == 0 && reportedDemand == 0 && usable(nowMillis) == 0) return false
        val hasDropped =
            reportedDemand - demand > maxOf(reportedDemand / CHANGE_DIVISOR, MIN_CHANGE)
        val isShort = demand > amount + amount / CHANGE_DIVISOR
        return hasDropped || isShort || nowMillis - reportedMillis >= renewMillis
    }

    /** Returns whether a reduced grant was received that has not been confirmed. */
    fun hasUnconfirmedReduction(): Boolean = isReductionUnconfirmed

    /** Returns the demand last reported to the allocator. */
    fun lastReportedDemand(): Int = reportedDemand

    /** Records a report to [to]. Returns false if [to] is new, which resets the grant number. */
    fun onReported(to: HostId, demand: Int, obeyed: Long, nowMillis: Long): Boolean {
        val isKnownAllocator = to == allocator
        if (!isKnownAllocator) number = 0
        allocator = to
        reportedDemand = demand
        reportedMillis = nowMillis
        unansweredSinceMillis = unansweredSinceMillis ?: nowMillis
        if (obeyed >= number) isReductionUnconfirmed = false
        return isKnownAllocator
    }

    /** Returns whether reports have been unanswered for [forMillis]. */
    fun isCutOff(forMillis: Long, nowMillis: Long): Boolean {
        val since = unansweredSinceMillis ?: return false
        return nowMillis - since >= forMillis
    }

    private companion object {
        const val MIN_CHANGE = 2_000
        const val CHANGE_DIVISOR = 2
    }
}
