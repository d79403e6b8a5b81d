/** A lock-free estimate of a usual time. */
package burdockspread.generation

import java.util.concurrent.atomic.AtomicLong
import kotlin.math.abs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds

/**
 * Mean and mean deviation of recent times, packed into one word and updated by compare-and-set.
 *
 * A single time counts for at most a small multiple of the estimate, so that one freeze does not
 * raise the limit for the next one.
 */
internal class TimeEstimate {
    private val packed = AtomicLong(EMPTY)

    fun record(time: Duration) {
        val sample = time.inWholeMicroseconds.coerceAtLeast(1).toFloat()
        do {
            val old = packed.get()
            val next = if (old == EMPTY) pack(sample, sample / 2) else updated(old, sample)
        } while (!packed.compareAndSet(old, next))
    }

    fun usual(): Duration? {
        val now = packed.get()
        if (now == EMPTY) return null
        return (mean(now) + DEVIATIONS * deviation(now)).toLong().microseconds
    }

    private fun updated(old: Long, sample: Float): Long {
        val mean = mean(old)
        val deviation = deviation(old)
        val clipped = sample.coerceAtMost(CLIP_MEANS * mean + CLIP_DEVIATIONS * deviation)
        val error = clipped - mean
        return pack(mean + error * GAIN, deviation + (abs(error) - deviation) * GAIN)
    }

    private companion object {
        const val EMPTY = 0L
        const val GAIN = 1f / 32
        const val DEVIATIONS = 2f
        const val CLIP_MEANS = 4f
        const val CLIP_DEVIATIONS = 4f
        const val LOW_BITS = 0xFFFF_FFFFL

        fun pack(mean: Float, deviation: Float): Long =
            mean.toRawBits().toLong() shl Int.SIZE_BITS or
                (deviation.toRawBits().toLong() and LOW_BITS)

        fun mean(packed: Long): Float = Float.fromBits((packed ushr Int.SIZE_BITS).toInt())

        fun deviation(packed: Long): Float = Float.fromBits(packed.toInt())
    }
}
