/** What a host or failure domain holds of one organisation's limit. */
package burdockspread.limit

import burdockspread.id.HostId

/** State of a holder towards the host that grants to it. */
internal class ShareHolding {
    private var granter: HostId? = null
    private var reported = 0
    private var reportedMillis = 0L
    private var unansweredMillis: Long? = null
    private var unsaid = false
    var amount = 0
        private set
    var untilMillis = 0L
        private set
    var number = 0L
        private set

    /** Amount that may be used now. */
    fun usable(nowMillis: Long): Int = if (nowMillis < untilMillis) amount else 0

    /** Takes a grant that answers a report of [sentAtMillis]; false when it is an old one. */
    fun take(from: HostId, grant: ShareGrant, sentAtMillis: Long): Boolean {
        if (from != granter || grant.number <= number) return false
        unsaid = unsaid || grant.amount < amount
        amount = grant.amount
        untilMillis = sentAtMillis + grant.lifetimeMillis
        number = grant.number
        unansweredMillis = null
        return true
    }

    /** Whether a report with [demand] to [to] is due. */
    fun due(to: HostId, demand: Int, renewMillis: Long, nowMillis: Long): Boolean {
        if (to != granter) return demand > 0 || usable(nowMillis) > 0
        if (unsaid) return true
        if (demand == 0 && reported == 0 && usable(nowMillis) == 0) return false
        val fallen = reported - demand > maxOf(reported / CHANGE_PART, SMALL)
        val short = demand > amount + amount / CHANGE_PART
        return fallen || short || nowMillis - reportedMillis >= renewMillis
    }

    /** Whether a smaller grant came that has not been confirmed. */
    fun lowered(): Boolean = unsaid

    /** The host that grants, and the demand last reported to it. */
    fun lastReported(): Int = reported

    /** Notes a report to [to]; false when [to] is new, and numbers start anew. */
    fun reported(to: HostId, demand: Int, obeyed: Long, nowMillis: Long): Boolean {
        val known = to == granter
        if (!known) number = 0
        granter = to
        reported = demand
        reportedMillis = nowMillis
        unansweredMillis = unansweredMillis ?: nowMillis
        if (obeyed >= number) unsaid = false
        return known
    }

    /** Whether reports have had no answer for [forMillis]. */
    fun cutOff(forMillis: Long, nowMillis: Long): Boolean {
        val since = unansweredMillis ?: return false
        return nowMillis - since >= forMillis
    }

    private companion object {
        const val SMALL = 2_000
        const val CHANGE_PART = 2
    }
}
