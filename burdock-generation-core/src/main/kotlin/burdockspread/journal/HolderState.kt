/** What an owner knows about one holder of its journal's copies. */
package burdockspread.journal

import burdockspread.id.HostId
import kotlin.time.Instant

/** One holder of copies as the owner sees it. */
internal class HolderState(val host: HostId) {
    /** Number of tokens that the holder has acknowledged. */
    var acked = 0

    /** Whether the holder has acknowledged the end of the answer. */
    var finishAcked = false

    /** Time at which the unanswered batch was sent, or null when none is under way. */
    var sentAt: Instant? = null

    /** Time before which nothing more is sent. */
    var notBefore: Instant = Instant.DISTANT_PAST

    /** Whether the holder neither answers nor refuses for lack of room. */
    var usable = true
}
