/** Default implementation of [OrganisationLimits]. */
package burdockspread.limit

import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import burdockspread.id.OrganisationId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toPersistentHashMap
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Instant

internal class RealOrganisationLimits(
    private val own: HostId,
    private val domain: FailureDomainId,
    private val options: ShareOptions,
) : OrganisationLimits {
    private val shares = AtomicReference(persistentHashMapOf<OrganisationId, OrganisationShares>())
    private var members = ShareMembers(persistentListOf(), 1, persistentMapOf())

    override fun check(organisation: OrganisationId, maxTokens: Int, now: Instant): LimitDecision {
        val share = shares.get()[organisation] ?: return UNLIMITED
        return share.local.check(maxTokens, now)
    }

    override fun onLimits(limits: ImmutableMap<OrganisationId, OrganisationLimit>) {
        val before = shares.get()
        val after = limits.mapValues { (organisation, limit) ->
            before[organisation]?.also { it.local.limit = limit }
                ?: OrganisationShares(LocalLimit(organisation, limit), options)
        }
        after.values.forEach(::updateAllocators)
        shares.set(after.toPersistentHashMap())
    }

    override fun onMembers(members: ShareMembers, now: Instant) {
        this.members = members
        shares.get().values.forEach(::updateAllocators)
    }

    override fun onTick(now: Instant): ImmutableList<OutgoingShareMessage> {
        val nowMillis = now.toEpochMilliseconds()
        val outbox = ShareOutbox(own, nowMillis)
        val allShares = shares.get().values
        allShares.forEach { it.updateLedgers(own, nowMillis) }
        allShares.forEach { share ->
            share.hostReport(nowMillis)?.let { outbox.report(share.domainAllocator, false, it) }
        }
        deliverToSelf(outbox, now)
        allShares.forEach { share ->
            share.domainReport(nowMillis)?.let { outbox.report(share.rootAllocator, true, it) }
        }
        return deliverToSelf(outbox, now)
    }

    override fun onMessage(
        from: HostId,
        message: ShareMessage,
        now: Instant,
    ): ImmutableList<OutgoingShareMessage> {
        val nowMillis = now.toEpochMilliseconds()
        val outbox = ShareOutbox(own, nowMillis)
        handle(from, message, nowMillis, outbox)
        return deliverToSelf(outbox, now)
    }

    override fun share(organisation: OrganisationId, now: Instant): Double =
        shares.get()[organisation]?.local?.share(now.toEpochMilliseconds()) ?: 1.0

    private fun updateAllocators(share: OrganisationShares) {
        val selector = AllocatorSelector(members)
        share.domainAllocator = selector.domainAllocator(share.local.organisation, domain)
        share.rootAllocator = selector.rootAllocator(share.local.organisation)
        share.local.baseShare =
            options.baseFraction * ShareUnits.WHOLE / maxOf(members.hostCount, 1)
    }

    /** Delivers messages of this host to itself and returns those to other hosts. */
    private fun deliverToSelf(
        outbox: ShareOutbox,
        now: Instant,
    ): ImmutableList<OutgoingShareMessage> {
        while (true) {
            val message = outbox.pollSelf() ?: break
            handle(own, message, now.toEpochMilliseconds(), outbox)
        }
        return outbox.outgoing().toImmutableList()
    }

    private fun handle(from: HostId, message: ShareMessage, nowMillis: Long, outbox: ShareOutbox) {
        when (message) {
            is ShareMessage.Reports -> onReports(from, message, nowMillis, outbox)
            is ShareMessage.Grants -> onGrants(from, message, nowMillis, outbox)
        }
    }

    private fun onReports(
        from: HostId,
        message: ShareMessage.Reports,
        nowMillis: Long,
        outbox: ShareOutbox,
    ) {
        val sharesById = shares.get()
        val grants = message.reports.mapNotNull { report ->
            val share = sharesById[report.organisation] ?: return@mapNotNull null
            if (message.ofDomain) {
                domainOf(from)?.let { share.grantToDomain(it, report, nowMillis) }
            } else {
                share.grantToHost(from, report, nowMillis)
                    .also { sendConfirmations(share, nowMillis, outbox) }
            }
        }
        if (grants.isEmpty()) return
        val reply = ShareMessage.Grants(
            message.ofDomain,
            message.sentAtMillis,
            grants.toImmutableList(),
        )
        outbox.send(from, reply)
    }

    private fun onGrants(
        from: HostId,
        message: ShareMessage.Grants,
        nowMillis: Long,
        outbox: ShareOutbox,
    ) {
        val sharesById = shares.get()
        message.grants.forEach { grant ->
            val share = sharesById[grant.organisation] ?: return@forEach
            if (message.ofDomain) {
                share.onDomainGrant(from, grant, message.sentAtMillis)
            } else {
                share.onHostGrant(from, grant, message.sentAtMillis)
            }
            sendConfirmations(share, nowMillis, outbox)
        }
    }

    private fun sendConfirmations(share: OrganisationShares, nowMillis: Long, outbox: ShareOutbox) {
        share.hostConfirmation(nowMillis)?.let { outbox.report(share.domainAllocator, false, it) }
        share.domainConfirmation(nowMillis)?.let { outbox.report(share.rootAllocator, true, it) }
    }

    private fun domainOf(host: HostId): FailureDomainId? =
        members.live.entries.firstOrNull { host in it.value }?.key

    private companion object {
        val UNLIMITED = LimitDecision.Allowed(
            object : LimitPermit {
                override fun onTokens(count: Int, now: Instant) = Unit

                override fun release(now: Instant) = Unit
            },
        )
    }
}
