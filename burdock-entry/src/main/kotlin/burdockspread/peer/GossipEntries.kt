/** Entries that peers have sent. */
package burdockspread.peer

import burdockspread.spread.Entry
import com.google.protobuf.InvalidProtocolBufferException
import org.apache.logging.log4j.LogManager

/** Calls [apply] with each entry; one whose value is malformed costs no other. */
internal fun List<Entry>.applyEach(apply: (Entry) -> Unit): Unit = forEach { entry ->
    try {
        apply(entry)
    } catch (e: InvalidProtocolBufferException) {
        log.warn("ignoring entry {}, whose value is malformed: {}", entry.key, e.message)
    }
}

private val log = LogManager.getLogger("gossip")
