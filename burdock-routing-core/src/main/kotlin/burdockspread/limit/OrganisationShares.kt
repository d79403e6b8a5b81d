/** Protocol state of one organisation's shares at one host, in all roles of the host. */
package burdockspread.limit

import burdockspread.id.FailureDomainId
import burdockspread.id.HostId

/** Reports the demand of this host and grants shares as an allocator. Not thread-safe. */
internal class OrganisationShares(val local: LocalLimit, private val options: ShareOptions) {
    private val lifetimeMillis = options.lifetime.inWholeMilliseconds
    private val renewMillis = options.renewInterval.inWholeMilliseconds
    private val hostHolding = ShareHolding()
    private val domainHolding = ShareHolding()
    private var hostLedger: ShareLedger<HostId>? = null
    private var domainLedger: ShareLedger<FailureDomainId>? = null
    private var domainObeyed = 0L

    /** Allocators of this organisation's limit, updated when the members change. */
    var domainAllocator: HostId? = null
    var rootAllocator: HostId? = null

    /** Creates and drops ledgers when the roles of this host change. */
    fun updateLedgers(own: HostId, nowMillis: Long) {
        hostLedger = if (domainAllocator != own) null else hostLedger ?: ledger(nowMillis)
        domainLedger =
            if (rootAllocator != own) null else domainLedger ?: ledger(nowMillis, addSurplus = true)
    }

    /** Returns this host's report, or null if none is due. */
    fun hostReport(nowMillis: Long): ShareReport? {
        val to = domainAllocator ?: return null
        val requested = local.demand.takeDemand(local.limit, nowMillis) * options.headroom
        val demand = maxOf((requested * ShareUnits.WHOLE).toLong() - local.baseShare.toLong(), 0)
        return createReport(hostHolding, to, demand, nowMillis, hostHolding.number)
    }

    /** Returns this domain's report, or null if none is due or another host sends it. */
    fun domainReport(nowMillis: Long): ShareReport? {
        val ledger = hostLedger ?: return null
        val to = rootAllocator ?: return null
        val demand = ledger.demand(nowMillis).toLong()
        val committed = ledger.committed(nowMillis)
        if (committed <= domainHolding.amount) domainObeyed = domainHolding.number
        val obeyed = if (domainObeyed > domainHolding.number) 0 else domainObeyed
        val report = createReport(domainHolding, to, demand, nowMillis, obeyed) ?: return null
        return report.copy(holds = maxOf(report.holds, committed))
    }

    /** Returns the confirmation of a reduced grant to this host, or null if there is none. */
    fun hostConfirmation(nowMillis: Long): ShareReport? {
        val to = domainAllocator ?: return null
        if (!hostHolding.hasUnconfirmedReduction()) return null
        return createReport(
            hostHolding,
            to,
            hostHolding.lastReportedDemand().toLong(),
            nowMillis,
            hostHolding.number,
        )
    }

    /** Returns the confirmation of a reduced grant to this domain once its hosts obey it. */
    fun domainConfirmation(nowMillis: Long): ShareReport? {
        val ledger = hostLedger ?: return null
        val isReduced = domainHolding.hasUnconfirmedReduction() &&
            ledger.committed(nowMillis) <= domainHolding.amount
        return if (isReduced) domainReport(nowMillis) else null
    }

    /** Returns a grant to a host of this domain, or null if this host is not its allocator. */
    fun grantToHost(from: HostId, report: ShareReport, nowMillis: Long): ShareGrant? {
        val ledger = hostLedger ?: return null
        if (nowMillis < domainHolding.untilMillis) {
            return ledger.grant(
                from,
                report,
                domainHolding.amount,
                domainHolding.untilMillis,
                nowMillis,
            )
        }
        val isCutOff = domainHolding.isCutOff(lifetimeMillis, nowMillis)
        val total = if (isCutOff) local.limit.cutOffFloor * ShareUnits.WHOLE else 0.0
        return ledger.grant(from, report, total.toInt(), Long.MAX_VALUE, nowMillis)
    }

    /** Returns a grant to a domain, or null if this host is not the root allocator. */
    fun grantToDomain(from: FailureDomainId, report: ShareReport, nowMillis: Long): ShareGrant? {
        val total = ((1 - options.baseFraction) * ShareUnits.WHOLE).toInt()
        return domainLedger?.grant(from, report, total, Long.MAX_VALUE, nowMillis)
    }

    /** Processes a grant to this host. */
    fun onHostGrant(from: HostId, grant: ShareGrant, sentAtMillis: Long) {
        if (hostHolding.accept(from, grant, sentAtMillis)) {
            local.grantedShare = GrantedShare(hostHolding.amount, hostHolding.untilMillis)
        }
    }

    /** Processes a grant to this failure domain. */
    fun onDomainGrant(from: HostId, grant: ShareGrant, sentAtMillis: Long) {
        domainHolding.accept(from, grant, sentAtMillis)
    }

    /** One open request is the smallest useful share of a limit on open requests. */
    private fun <K : Any> ledger(nowMillis: Long, addSurplus: Boolean = false): ShareLedger<K> {
        val concurrent = local.limit.concurrent
        val minGrant = if (concurrent > 0) ShareUnits.WHOLE / concurrent + 1 else 0
        return ShareLedger(nowMillis, lifetimeMillis, minGrant, addSurplus)
    }

    private fun createReport(
        holding: ShareHolding,
        to: HostId,
        demand: Long,
        nowMillis: Long,
        obeyed: Long,
    ): ShareReport? {
        val cappedDemand = minOf(demand, MAX_DEMAND).toInt()
        if (!holding.isReportDue(to, cappedDemand, renewMillis, nowMillis)) return null
        val sentObeyed = if (holding.onReported(to, cappedDemand, obeyed, nowMillis)) obeyed else 0
        return ShareReport(local.organisation, cappedDemand, holding.usable(nowMillis), sentObeyed)
    }

    private companion object {
        const val MAX_DEMAND = 10L * ShareUnits.WHOLE
    }
}
