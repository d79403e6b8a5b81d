/** One attempt of a request at one target. */
package burdockspread.forward.exchange

import burdockspread.forward.catalog.CallKind
import burdockspread.forward.catalog.Route
import burdockspread.forward.directory.TargetEntry
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.Instant

/** State of the current attempt. */
internal class Attempt(
    val number: Int,
    val target: TargetEntry,
    val replicaTarget: TargetEntry?,
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

    /** Instant at which the silence of this attempt has to be looked at. */
    fun checkAt(route: Route, options: ExchangeOptions): Instant {
        if (!route.kind.stream) {
            if (!route.kind.repeatable) return Instant.DISTANT_FUTURE
            return heardAt + route.latencyObjective * options.silenceObjectives
        }
        val probe = maxOf(heardAt, probedAt) + options.probeAfter
        return patience(route.kind, options)?.let { minOf(probe, heardAt + it) } ?: probe
    }

    /** Pause between events that is taken for a loss, or null while none is due or allowed. */
    fun patience(kind: CallKind, options: ExchangeOptions): Duration? = when {
        events == 0 || !kind.repeatable -> null
        replicaTarget != null -> options.copyPatience
        else -> options.barePatience
    }
}

/** A whole answer of a target. */
internal class HeldAnswer(val head: AnswerHead, val body: ByteArray)
