/** Movement of one organisation's shares at one host, in all roles that the host has. */
package burdockspread.limit

import burdockspread.id.FailureDomainId
import burdockspread.id.HostId

/** State of one organisation; used by one thread at a time. */
internal class OrganisationShares(val local: LocalLimit, private val options: ShareOptions) {
    private val lifetimeMillis = options.lifetime.inWholeMilliseconds
    private val renewMillis = options.renewInterval.inWholeMilliseconds
    private val ofHost = ShareHolding()
    private val ofDomain = ShareHolding()
    private var hosts: ShareLedger<HostId>? = null
    private var domains: ShareLedger<FailureDomainId>? = null
    private var obeyedByDomain = 0L

    /** Hosts that divide this organisation's limit, kept between changes of the members. */
    var divider: HostId? = null
    var top: HostId? = null

    /** Starts and ends ledgers when this host's roles change. */
    fun assign(own: HostId, nowMillis: Long) {
        hosts = if (divider != own) null else hosts ?: ledger(nowMillis)
        domains = if (top != own) null else domains ?: ledger(nowMillis, spreadRest = true)
    }

    /** This host's report, or null when none is due. */
    fun hostReport(nowMillis: Long): ShareReport? {
        val to = divider ?: return null
        val seen = local.demand.read(local.limit, nowMillis) * options.headroom
        val demand = maxOf((seen * ShareUnits.WHOLE).toLong() - local.base.toLong(), 0)
        return reportOf(ofHost, to, demand, nowMillis, ofHost.number)
    }

    /** This failure domain's report, or null when none is due or another host makes it. */
    fun domainReport(nowMillis: Long): ShareReport? {
        val ledger = hosts ?: return null
        val to = top ?: return null
        val demand = ledger.demand(nowMillis).toLong()
        val counted = ledger.counted(nowMillis)
        if (counted <= ofDomain.amount) obeyedByDomain = ofDomain.number
        val obeyed = if (obeyedByDomain > ofDomain.number) 0 else obeyedByDomain
        val report = reportOf(ofDomain, to, demand, nowMillis, obeyed) ?: return null
        return report.copy(holds = maxOf(report.holds, counted))
    }

    /** Confirmation of a smaller grant to this host, or null when none came. */
    fun hostConfirmation(nowMillis: Long): ShareReport? {
        val to = divider ?: return null
        if (!ofHost.lowered()) return null
        return reportOf(ofHost, to, ofHost.lastReported().toLong(), nowMillis, ofHost.number)
    }

    /** Confirmation of a smaller grant to this domain, once its hosts obey it. */
    fun domainConfirmation(nowMillis: Long): ShareReport? {
        val ledger = hosts ?: return null
        val lowered = ofDomain.lowered() && ledger.counted(nowMillis) <= ofDomain.amount
        return if (lowered) domainReport(nowMillis) else null
    }

    /** Answers a host of this domain, or null when this host does not divide the limit. */
    fun grantHost(from: HostId, report: ShareReport, nowMillis: Long): ShareGrant? {
        val ledger = hosts ?: return null
        if (nowMillis < ofDomain.untilMillis) {
            return ledger.grant(from, report, ofDomain.amount, ofDomain.untilMillis, nowMillis)
        }
        val cutOff = ofDomain.cutOff(lifetimeMillis, nowMillis)
        val total = if (cutOff) local.limit.cutOffFloor * ShareUnits.WHOLE else 0.0
        return ledger.grant(from, report, total.toInt(), Long.MAX_VALUE, nowMillis)
    }

    /** Answers a failure domain, or null when this host does not divide the limit. */
    fun grantDomain(from: FailureDomainId, report: ShareReport, nowMillis: Long): ShareGrant? {
        val total = ((1 - options.baseFraction) * ShareUnits.WHOLE).toInt()
        return domains?.grant(from, report, total, Long.MAX_VALUE, nowMillis)
    }

    /** Takes a grant to this host. */
    fun takeHost(from: HostId, grant: ShareGrant, sentAtMillis: Long) {
        if (ofHost.take(from, grant, sentAtMillis)) {
            local.granted = Granted(ofHost.amount, ofHost.untilMillis)
        }
    }

    /** Takes a grant to this failure domain. */
    fun takeDomain(from: HostId, grant: ShareGrant, sentAtMillis: Long) {
        ofDomain.take(from, grant, sentAtMillis)
    }

    /** One open request is the smallest useful part of a limit on open requests. */
    private fun <K : Any> ledger(nowMillis: Long, spreadRest: Boolean = false): ShareLedger<K> {
        val concurrent = local.limit.concurrent
        val quantum = if (concurrent > 0) ShareUnits.WHOLE / concurrent + 1 else 0
        return ShareLedger(nowMillis, lifetimeMillis, quantum, spreadRest)
    }

    private fun reportOf(
        holding: ShareHolding,
        to: HostId,
        demand: Long,
        nowMillis: Long,
        obeyed: Long,
    ): ShareReport? {
        val bounded = minOf(demand, MAX_DEMAND).toInt()
        if (!holding.due(to, bounded, renewMillis, nowMillis)) return null
        val known = if (holding.reported(to, bounded, obeyed, nowMillis)) obeyed else 0
        return ShareReport(local.organisation, bounded, holding.usable(nowMillis), known)
    }

    private companion object {
        const val MAX_DEMAND = 10L * ShareUnits.WHOLE
    }
}
