/** Conversions between rate limit share messages and their protobuf messages. */
package burdockspread.peer

import burdockspread.id.HostId
import burdockspread.id.OrganisationId
import burdockspread.limit.ShareGrant
import burdockspread.limit.ShareMessage
import burdockspread.limit.ShareReport
import burdockspread.wire.limits.ShareEnvelope
import burdockspread.wire.limits.shareEnvelope
import burdockspread.wire.limits.shareGrant
import burdockspread.wire.limits.shareGrants
import burdockspread.wire.limits.shareReport
import burdockspread.wire.limits.shareReports
import kotlinx.collections.immutable.toImmutableList
import burdockspread.wire.limits.ShareGrant as ShareGrantMessage
import burdockspread.wire.limits.ShareReport as ShareReportMessage

internal fun ShareMessage.toMessage(from: HostId): ShareEnvelope {
    val message = this
    return shareEnvelope {
        sender = from.value
        when (message) {
            is ShareMessage.Reports ->
                reports = shareReports {
                    ofDomain = message.ofDomain
                    sentAtMillis = message.sentAtMillis
                    reports += message.reports.map { it.toMessage() }
                }
            is ShareMessage.Grants ->
                grants = shareGrants {
                    ofDomain = message.ofDomain
                    sentAtMillis = message.sentAtMillis
                    grants += message.grants.map { it.toMessage() }
                }
        }
    }
}

/** Returns the message in this envelope, or null if only a newer version of the system knows it. */
internal fun ShareEnvelope.toShareMessage(): ShareMessage? = when (messageCase) {
    ShareEnvelope.MessageCase.REPORTS ->
        ShareMessage.Reports(
            reports.ofDomain,
            reports.sentAtMillis,
            reports.reportsList
                .map {
                    ShareReport(OrganisationId(it.organisation), it.demand, it.holds, it.obeyed)
                }
                .toImmutableList(),
        )
    ShareEnvelope.MessageCase.GRANTS ->
        ShareMessage.Grants(
            grants.ofDomain,
            grants.sentAtMillis,
            grants.grantsList
                .map {
                    val organisation = OrganisationId(it.organisation)
                    ShareGrant(organisation, it.amount, it.number, it.lifetimeMillis)
                }.toImmutableList(),
        )
    else -> null
}

private fun ShareReport.toMessage(): ShareReportMessage {
    val report = this
    return shareReport {
        organisation = report.organisation.value
        demand = report.demand
        holds = report.holds
        obeyed = report.obeyed
    }
}

private fun ShareGrant.toMessage(): ShareGrantMessage {
    val grant = this
    return shareGrant {
        organisation = grant.organisation.value
        amount = grant.amount
        number = grant.number
        lifetimeMillis = grant.lifetimeMillis
    }
}
