/** Collects the messages of one call and batches the reports to each receiver. */
package burdockspread.limit

import burdockspread.id.HostId
import kotlinx.collections.immutable.toImmutableList

internal class ShareOutbox(private val own: HostId, private val nowMillis: Long) {
    private val reports = LinkedHashMap<Destination, MutableList<ShareReport>>()
    private val ready = ArrayList<OutgoingShareMessage>()
    private val selfMessages = ArrayDeque<ShareMessage>()

    fun report(to: HostId?, ofDomain: Boolean, report: ShareReport) {
        if (to != null) reports.getOrPut(Destination(to, ofDomain)) { mutableListOf() } += report
    }

    fun send(to: HostId, message: ShareMessage) {
        if (to == own) selfMessages.addLast(message) else ready += OutgoingShareMessage(to, message)
    }

    /** Returns the next message of this host to itself, or null. */
    fun pollSelf(): ShareMessage? {
        flush()
        return selfMessages.removeFirstOrNull()
    }

    /** Returns the messages to other hosts so far. */
    fun outgoing(): List<OutgoingShareMessage> = ready

    private fun flush() {
        reports.forEach { (destination, batch) ->
            val message =
                ShareMessage.Reports(destination.ofDomain, nowMillis, batch.toImmutableList())
            send(destination.to, message)
        }
        reports.clear()
    }

    private data class Destination(val to: HostId, val ofDomain: Boolean)
}
