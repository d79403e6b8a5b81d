/** Where the other entry hosts are. */
package burdockspread.peer

import burdockspread.document.DocumentView
import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import burdockspread.journal.CopyPlacement
import burdockspread.journal.HostLocation
import burdockspread.journal.RequestKey
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/** Tells whether a host of the document may be given copies. */
internal fun interface HostFilter {
    /** Whether [host] is live as far as is known here. */
    fun isUsable(host: HostId): Boolean
}

/** Hosts of the document with their addresses, seen from [self] in [domain] of [region]. */
internal class PeerDirectory(
    val self: HostId,
    val domain: FailureDomainId,
    private val region: String,
    private val document: () -> DocumentView,
    private val filter: HostFilter,
) {
    /** IP:port of the peer port of [host], or null when the document names no such host. */
    fun address(host: HostId): String? = document().host(host)?.peerAddress

    /** Hosts that are to hold [copies] copies of the request. */
    fun holders(request: RequestKey, copies: Int): ImmutableList<HostId> =
        order(exceptSelf = true).holders(request, domain, copies)

    /** Other hosts that may hold copies of the request. */
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
