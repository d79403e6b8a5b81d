/** An owner's view of one holder of its journal's copies. */
package burdockspread.journal

import burdockspread.id.HostId
import kotlin.time.Instant

/** Replication state of one holder. */
internal class HolderState(val host: HostId) {
    /** Number of tokens that the holder has acknowledged. */
    var acked = 0

    /** Whether the holder has acknowledged the end of the answer. */
    var isFinishAcked = false

    /** Time at which the unanswered batch was sent, or null when none is in flight. */
    var sentAt: Instant? = null

    /** Time before which nothing more is sent. */
    var nextSendAt: Instant = Instant.DISTANT_PAST

    /** False while the holder does not answer or has no room for the copy. */
    var isUsable = true
}
