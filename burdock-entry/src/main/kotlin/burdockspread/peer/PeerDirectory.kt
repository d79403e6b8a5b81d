/** Lookup of the other entry hosts. */
package burdockspread.peer

import burdockspread.document.DocumentView
import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import burdockspread.journal.CopyPlacement
import burdockspread.journal.HostLocation
import burdockspread.journal.RequestKey
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/** Filter for the hosts that may hold copies. */
internal fun interface HostFilter {
    /** Returns whether this host considers [host] live. */
    fun isUsable(host: HostId): Boolean
}

/** Directory of the document's hosts and their addresses for [self] in [domain] of [region]. */
internal class PeerDirectory(
    val self: HostId,
    val domain: FailureDomainId,
    private val region: String,
    private val document: () -> DocumentView,
    private val filter: HostFilter,
) {
    /** Returns IP:port of the peer port of [host], or null if the document has no such host. */
    fun address(host: HostId): String? = document().host(host)?.peerAddress

    /** Returns the hosts that should hold the [copies] copies of [request]. */
    fun holders(request: RequestKey, copies: Int): ImmutableList<HostId> =
        order(exceptSelf = true).holders(request, domain, copies)

    /** Returns the other hosts that may hold copies of [request]. */
    fun candidates(request: RequestKey, copies: Int): ImmutableList<HostId> =
        order(exceptSelf = false)
            .candidates(request, copies)
            .filter { it != self }
            .toImmutableList()

    private fun order(exceptSelf: Boolean): CopyPlacement {
        val places =
            document()
                .hosts
                .filter { filter.isUsable(it.id) && !(exceptSelf && it.id == self) }
                .map { HostLocation(it.id, it.failureDomain, it.region) }
        return CopyPlacement(places, region)
    }
}
