/** Messages by which hosts move shares of limits. */
package burdockspread.limit

import burdockspread.id.HostId
import burdockspread.id.OrganisationId
import kotlinx.collections.immutable.ImmutableList

/** Amounts of shares are in millionths of an organisation's limit. */
public object ShareUnits {
    /** The whole limit. */
    public const val WHOLE: Int = 1_000_000
}

/** A message to send. */
public data class OutgoingShareMessage(public val to: HostId, public val message: ShareMessage)

/** A message between hosts. */
public sealed interface ShareMessage {
    /** Demand and holdings of a host, or of a failure domain for [ofDomain]. */
    public data class Reports(
        public val ofDomain: Boolean,
        /** Time of the sender's clock, returned with the grants. */
        public val sentAtMillis: Long,
        public val reports: ImmutableList<ShareReport>,
    ) : ShareMessage

    /** Answer to [Reports]. A grant may be used for its lifetime from [sentAtMillis] on. */
    public data class Grants(
        public val ofDomain: Boolean,
        /** Time from the reports that are answered. */
        public val sentAtMillis: Long,
        public val grants: ImmutableList<ShareGrant>,
    ) : ShareMessage
}

/** What one holder wants and has of one limit. */
public data class ShareReport(
    public val organisation: OrganisationId,
    public val demand: Int,
    public val holds: Int,
    /** Number of the last grant of the receiver that the holder obeys, or 0. */
    public val obeyed: Long,
)

/** What one holder may use of one limit. */
public data class ShareGrant(
    public val organisation: OrganisationId,
    public val amount: Int,
    /** Rises with each grant of the sender. */
    public val number: Long,
    /** Time for which the grant may be used, from [ShareMessage.Grants.sentAtMillis] on. */
    public val lifetimeMillis: Long,
)
