/** One attempt of a request at one target. */
package burdockspread.forward.exchange

import burdockspread.forward.directory.TargetEntry
import java.io.ByteArrayOutputStream
import kotlin.time.Instant

/** State of the current attempt. */
internal class Attempt(
    val number: Int,
    val target: TargetEntry,
    val copyTo: TargetEntry?,
    sentAt: Instant,
) {
    var heardAt: Instant = sentAt
    var probedAt: Instant = sentAt
    var head: AnswerHead? = null

    /** An answer to another request is being read; the own one follows it. */
    var foreign = false

    /** The connection carried an answer to another request and is not used again. */
    var tainted = false

    /** The answer is a stream of events that is passed on as it comes. */
    var streams = false

    /** The answer is too large to be held and is passed on as it comes. */
    var passing = false
    var events = 0
    val held = ByteArrayOutputStream()
}

/** A whole answer of a target. */
internal class HeldAnswer(val head: AnswerHead, val body: ByteArray)
