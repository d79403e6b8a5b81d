/** Seeded, lock-free random number generator for use by several threads. */
package burdockspread.route

import java.util.concurrent.atomic.AtomicLong

/** SplitMix64 generator over an atomic counter. */
internal class SeededRandom(seed: Long) {
    private val state = AtomicLong(seed)

    /** Returns a number from 0 (inclusive) to [bound] (exclusive). */
    fun nextInt(bound: Int): Int = ((nextLong() ushr HALF_BITS) * bound ushr HALF_BITS).toInt()

    /** Returns a number from 0 (inclusive) to 1 (exclusive). */
    fun nextDouble(): Double = (nextLong() ushr DOUBLE_SHIFT) * DOUBLE_UNIT

    private fun nextLong(): Long {
        var z = state.addAndGet(GAMMA)
        z = (z xor (z ushr SHIFT_1)) * MIX_1
        z = (z xor (z ushr SHIFT_2)) * MIX_2
        return z xor (z ushr SHIFT_3)
    }

    private companion object {
        const val GAMMA = -0x61c8864680b583ebL
        const val MIX_1 = -0x40a7b892e31b1a47L
        const val MIX_2 = -0x6b2fb644ecceee15L
        const val SHIFT_1 = 30
        const val SHIFT_2 = 27
        const val SHIFT_3 = 31
        const val HALF_BITS = 32
        const val DOUBLE_SHIFT = 11
        const val DOUBLE_UNIT = 1.0 / (1L shl 53)
    }
}
