/** When a call whose response makes no progress is given up. */
package burdockspread.net

import kotlin.time.Duration

/**
 * Bounds the time without progress of one response. The time of a whole response depends on its
 * size and on the slowest link on its way, so a bound on that would end some transfers always,
 * however often they are repeated.
 *
 * A response has to be complete, or to have made progress, within the timeout of its call; after
 * each progress it has [stallTimeout] for the next one. Bytes that trickle in are no progress until
 * there are [PROGRESS_BYTES] of them, so a short response is bounded by the timeout as a whole.
 *
 * Times are since the start of the call. One thread at a time reports progress, any may read
 * [dueAt].
 */
public class TransferDeadline(timeout: Duration, private val stallTimeout: Duration) {
    /** When the call is to be given up. */
    @Volatile
    public var dueAt: Duration = timeout
        private set
    private var progressMark = 0

    /** Handles that [size] bytes of the body have arrived in total. */
    public fun onReceived(size: Int, elapsed: Duration) {
        if (size - progressMark < PROGRESS_BYTES) return
        progressMark = size
        dueAt = maxOf(dueAt, elapsed + stallTimeout)
    }

    public companion object {
        /** A few per cent of what the slowest link carries within the shortest timeout. */
        public const val PROGRESS_BYTES: Int = 16_384
    }
}
