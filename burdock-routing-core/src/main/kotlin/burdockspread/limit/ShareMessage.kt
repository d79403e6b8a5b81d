/** Messages with which hosts exchange shares of limits. */
package burdockspread.limit

import burdockspread.id.HostId
import burdockspread.id.OrganisationId
import kotlinx.collections.immutable.ImmutableList

/** Unit of the amounts of shares: millionths of an organisation's limit. */
public object ShareUnits {
    /** The whole limit. */
    public const val WHOLE: Int = 1_000_000
}

/** A message to be sent to the host [to]. */
public data class OutgoingShareMessage(public val to: HostId, public val message: ShareMessage)

/** A message about shares between hosts. */
public sealed interface ShareMessage {
    /** Demand and holdings of a host, or of a failure domain if [ofDomain] is true. */
    public data class Reports(
        public val ofDomain: Boolean,
        /** Send time by the sender's clock, echoed in the grants. */
        public val sentAtMillis: Long,
        public val reports: ImmutableList<ShareReport>,
    ) : ShareMessage

    /** Reply to [Reports]. A grant is valid for its lifetime from [sentAtMillis] on. */
    public data class Grants(
        public val ofDomain: Boolean,
        /** Send time echoed from the reports. */
        public val sentAtMillis: Long,
        public val grants: ImmutableList<ShareGrant>,
    ) : ShareMessage
}

/** Demand and holding of one holder for one limit. */
public data class ShareReport(
    public val organisation: OrganisationId,
    public val demand: Int,
    public val holds: Int,
    /** Number of the latest grant of the receiver that the holder obeys, or 0. */
    public val obeyed: Long,
)

/** Share of one limit that a holder may use. */
public data class ShareGrant(
    public val organisation: OrganisationId,
    public val amount: Int,
    /** Increases with each grant of the sender. */
    public val number: Long,
    /** Time for which the grant is valid, from [ShareMessage.Grants.sentAtMillis] on. */
    public val lifetimeMillis: Long,
)
