/** Failure domains and entry hosts in the document. */
package burdockspread.document

import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import kotlinx.collections.immutable.ImmutableList

/** A failure domain with its hosts and targets. */
public data class FailureDomain(
    public val id: FailureDomainId,
    public val region: String,
    public val hosts: ImmutableList<EntryHost>,
    public val targets: ImmutableList<Target>,
)

/**
 * An entry host.
 *
 * @property peerAddress IP:port of the gRPC server for peer hosts.
 */
public data class EntryHost(
    public val id: HostId,
    public val peerAddress: String,
    public val failureDomain: FailureDomainId,
    public val region: String,
)
