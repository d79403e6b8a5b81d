/** The state of one attempt to send a request to a target. */
package burdockspread.forward.exchange

import burdockspread.forward.directory.TargetEntry
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.Instant

/** Mutable state of the current attempt. */
internal class Attempt(
    val number: Int,
    val target: TargetEntry,
    val replicaTarget: TargetEntry?,
    val sentAt: Instant,
    /** Whether the attempt took over from a silent one, which was cut for it. */
    val isSuccessor: Boolean = false,
) {
    var lastReceivedAt: Instant = sentAt

    /** When the last event arrived, or enough bytes of an incomplete event or response. */
    var lastProgressAt: Instant = sentAt
        private set
    private var progressMark = 0
    var lastProbedAt: Instant = sentAt

    /** When a takeover was last requested or refused. */
    var lastTakeoverRequestedAt: Instant = sentAt
    var head: ResponseHead? = null
        private set

    /** When the head of the response arrived. */
    var begunAt: Instant? = null
        private set

    /** Whether the response being read belongs to another request; the expected one follows. */
    var isForeign = false

    private var skippedBytes = 0
    private var skippedResponses = 0

    /** Whether the response has gone on for long enough to speak for its prompt. */
    var hasGoneOn = false

    /** Whether to wait for the target however long it is silent. */
    var isSilenceTolerated = false

    /** Whether the listener knows that a silence of this attempt had no consequence. */
    var isToleranceReported = false

    /** Whether the connection delivered a response to another request and must not be reused. */
    var isConnectionTainted = false

    /** Whether the response is an event stream, which is forwarded as it arrives. */
    var isStreaming = false

    /** Whether the response is too large to buffer and is forwarded as it arrives. */
    var isRelaying = false
    var eventCount = 0
    val buffer = ByteArrayOutputStream()

    /** From when on silence counts towards the next takeover. */
    val silentSince: Instant get() = maxOf(lastProgressAt, lastTakeoverRequestedAt)

    /** Records the head of the response to this request. */
    fun onBegun(head: ResponseHead, now: Instant) {
        this.head = head
        if (begunAt == null) begunAt = now
    }

    /** Returns how far the response has come. */
    fun progress(now: Instant): AttemptProgress =
        AttemptProgress(begunAt?.let { now - it }, eventCount)

    /** Returns how long the target has made no progress. */
    fun silence(now: Instant): Duration = now - lastProgressAt

    /** Skips a response to another request; returns the limit that this exceeds, if any. */
    fun skipResponse(options: ExchangeOptions): String? {
        isForeign = true
        isConnectionTainted = true
        return if (++skippedResponses <= options.maxSkippedResponses) null else "too many responses"
    }

    /** Skips a part of such a response. */
    fun skipBytes(count: Int, options: ExchangeOptions): String? {
        skippedBytes += count
        val isExceeded = skippedBytes > options.maxSkippedBytes
        return if (isExceeded) "a response to another request" else null
    }

    /** Records that an event or the response head arrived, or that this host was paused. */
    fun onProgress(now: Instant) {
        lastProgressAt = maxOf(lastProgressAt, now)
        progressMark = 0
    }

    /** Records the size of the incomplete event or response after bytes have arrived. */
    fun onPartialProgress(pendingBytes: Int, options: ExchangeOptions, now: Instant) {
        if (pendingBytes < progressMark + options.minProgressBytes) return
        progressMark = pendingBytes
        lastProgressAt = now
    }
}

/** A complete response of a target. */
internal class BufferedResponse(
    val head: ResponseHead,
    val body: ByteArray,
    val target: TargetEntry,
)

/**
 * How far the response to an attempt has come.
 *
 * @property sinceBegun time since the head of the response arrived, or null if none has.
 * @property events events of a stream that were forwarded.
 */
public data class AttemptProgress(public val sinceBegun: Duration?, public val events: Int)
