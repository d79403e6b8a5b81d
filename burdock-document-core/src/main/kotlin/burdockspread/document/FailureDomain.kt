/** Failure domains and their hosts as the document describes them. */
package burdockspread.document

import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import kotlinx.collections.immutable.ImmutableList

/** One failure domain with its hosts and targets. */
public data class FailureDomain(
    public val id: FailureDomainId,
    public val region: String,
    public val hosts: ImmutableList<EntryHost>,
    public val targets: ImmutableList<Target>,
)

/**
 * One entry host.
 *
 * @property peerAddress IP:port of the host's gRPC port for its peers.
 */
public data class EntryHost(
    public val id: HostId,
    public val peerAddress: String,
    public val failureDomain: FailureDomainId,
    public val region: String,
)
