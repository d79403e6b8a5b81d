/** Lock-free latency estimate. */
package burdockspread.generation

import java.util.concurrent.atomic.AtomicLong
import kotlin.math.abs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds

/**
 * Mean and mean deviation over about the last [window] samples (at most 255).
 *
 * Both are packed into one word with the sample count and updated by compare-and-set. A single
 * sample counts for at most a small multiple of the estimate, so that one stall does not raise the
 * timeout for the next one.
 */
internal class LatencyEstimate(private val window: Int) {
    private val packed = AtomicLong(EMPTY)

    fun record(time: Duration) {
        val sample = time.inWholeMicroseconds.coerceIn(1, MASK)
        do {
            val old = packed.get()
            val next = if (old == EMPTY) pack(1, sample, sample / 2) else updated(old, sample)
        } while (!packed.compareAndSet(old, next))
    }

    fun expected(): Duration? {
        val now = packed.get()
        return if (now == EMPTY) null else (mean(now) + DEVIATIONS * deviation(now)).microseconds
    }

    private fun updated(old: Long, sample: Long): Long {
        val mean = mean(old)
        val deviation = deviation(old)
        val count = (count(old) + 1).coerceAtMost(window.toLong())
        val clipped = sample.coerceAtMost(CLIP_MEANS * mean + CLIP_DEVIATIONS * deviation)
        val error = clipped - mean
        return pack(count, mean + error / count, deviation + (abs(error) - deviation) / count)
    }

    private companion object {
        const val EMPTY = 0L
        const val DEVIATIONS = 2
        const val CLIP_MEANS = 4
        const val CLIP_DEVIATIONS = 4

        /** Bits of the mean and of the deviation, in microseconds up to 268 s. */
        const val FIELD_BITS = 28
        const val MASK = (1L shl FIELD_BITS) - 1

        fun pack(count: Long, mean: Long, deviation: Long): Long =
            (count shl FIELD_BITS + FIELD_BITS) or
                (mean.coerceIn(1, MASK) shl FIELD_BITS) or
                deviation.coerceIn(0, MASK)

        fun count(packed: Long): Long = packed ushr FIELD_BITS + FIELD_BITS

        fun mean(packed: Long): Long = packed ushr FIELD_BITS and MASK

        fun deviation(packed: Long): Long = packed and MASK
    }
}
