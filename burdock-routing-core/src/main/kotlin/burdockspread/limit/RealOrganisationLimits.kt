/** Limits of all organisations at one host. */
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
        val known = shares.get()[organisation] ?: return UNLIMITED
        return known.local.check(maxTokens, now)
    }

    override fun onLimits(limits: ImmutableMap<OrganisationId, OrganisationLimit>) {
        val before = shares.get()
        val after = limits.mapValues { (organisation, limit) ->
            before[organisation]?.also { it.local.limit = limit }
                ?: OrganisationShares(LocalLimit(organisation, limit), options)
        }
        after.values.forEach(::place)
        shares.set(after.toPersistentHashMap())
    }

    override fun onMembers(members: ShareMembers, now: Instant) {
        this.members = members
        shares.get().values.forEach(::place)
    }

    override fun onTick(now: Instant): ImmutableList<OutgoingShareMessage> {
        val nowMillis = now.toEpochMilliseconds()
        val outbox = ShareOutbox(own, nowMillis)
        val all = shares.get().values
        all.forEach { it.assign(own, nowMillis) }
        all.forEach { known ->
            known.hostReport(nowMillis)?.let { outbox.report(known.divider, false, it) }
        }
        settle(outbox, now)
        all.forEach { known ->
            known.domainReport(nowMillis)?.let { outbox.report(known.top, true, it) }
        }
        return settle(outbox, now)
    }

    override fun onMessage(
        from: HostId,
        message: ShareMessage,
        now: Instant,
    ): ImmutableList<OutgoingShareMessage> {
        val nowMillis = now.toEpochMilliseconds()
        val outbox = ShareOutbox(own, nowMillis)
        handle(from, message, nowMillis, outbox)
        return settle(outbox, now)
    }

    override fun share(organisation: OrganisationId, now: Instant): Double =
        shares.get()[organisation]?.local?.share(now.toEpochMilliseconds()) ?: 1.0

    private fun place(known: OrganisationShares) {
        val scope = ShareScope(members)
        known.divider = scope.divider(known.local.organisation, domain)
        known.top = scope.top(known.local.organisation)
        known.local.base = options.baseFraction * ShareUnits.WHOLE / maxOf(members.hostCount, 1)
    }

    /** Handles what this host sends to itself, and returns the rest. */
    private fun settle(outbox: ShareOutbox, now: Instant): ImmutableList<OutgoingShareMessage> {
        while (true) {
            val message = outbox.pollOwn() ?: break
            handle(own, message, now.toEpochMilliseconds(), outbox)
        }
        return outbox.sends().toImmutableList()
    }

    private fun handle(from: HostId, message: ShareMessage, nowMillis: Long, outbox: ShareOutbox) {
        when (message) {
            is ShareMessage.Reports -> answer(from, message, nowMillis, outbox)
            is ShareMessage.Grants -> take(from, message, nowMillis, outbox)
        }
    }

    private fun answer(
        from: HostId,
        message: ShareMessage.Reports,
        nowMillis: Long,
        outbox: ShareOutbox,
    ) {
        val known = shares.get()
        val grants = message.reports.mapNotNull { report ->
            val share = known[report.organisation] ?: return@mapNotNull null
            if (message.ofDomain) {
                domainOf(from)?.let { share.grantDomain(it, report, nowMillis) }
            } else {
                share.grantHost(from, report, nowMillis).also { confirm(share, nowMillis, outbox) }
            }
        }
        if (grants.isEmpty()) return
        val answer = ShareMessage.Grants(
            message.ofDomain,
            message.sentAtMillis,
            grants.toImmutableList(),
        )
        outbox.send(from, answer)
    }

    private fun take(
        from: HostId,
        message: ShareMessage.Grants,
        nowMillis: Long,
        outbox: ShareOutbox,
    ) {
        val known = shares.get()
        message.grants.forEach { grant ->
            val share = known[grant.organisation] ?: return@forEach
            if (message.ofDomain) {
                share.takeDomain(from, grant, message.sentAtMillis)
            } else {
                share.takeHost(from, grant, message.sentAtMillis)
            }
            confirm(share, nowMillis, outbox)
        }
    }

    private fun confirm(share: OrganisationShares, nowMillis: Long, outbox: ShareOutbox) {
        share.hostConfirmation(nowMillis)?.let { outbox.report(share.divider, false, it) }
        share.domainConfirmation(nowMillis)?.let { outbox.report(share.top, true, it) }
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
