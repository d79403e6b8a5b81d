/** Collects what one call sends, with one message of reports for each receiver. */
package burdockspread.limit

import burdockspread.id.HostId
import kotlinx.collections.immutable.toImmutableList

internal class ShareOutbox(private val own: HostId, private val nowMillis: Long) {
    private val reports = LinkedHashMap<Address, MutableList<ShareReport>>()
    private val ready = ArrayList<OutgoingShareMessage>()
    private val toOwn = ArrayDeque<ShareMessage>()

    fun report(to: HostId?, ofDomain: Boolean, report: ShareReport) {
        if (to != null) reports.getOrPut(Address(to, ofDomain)) { mutableListOf() } += report
    }

    fun send(to: HostId, message: ShareMessage) {
        if (to == own) toOwn.addLast(message) else ready += OutgoingShareMessage(to, message)
    }

    /** Next message to this host itself, or null. */
    fun pollOwn(): ShareMessage? {
        flush()
        return toOwn.removeFirstOrNull()
    }

    /** Messages to other hosts so far. */
    fun sends(): List<OutgoingShareMessage> = ready

    private fun flush() {
        reports.forEach { (address, list) ->
            val message = ShareMessage.Reports(address.ofDomain, nowMillis, list.toImmutableList())
            send(address.to, message)
        }
        reports.clear()
    }

    private data class Address(val to: HostId, val ofDomain: Boolean)
}
