/** Lock-free exponentially weighted moving average. */
package burdockspread.route

import java.util.concurrent.atomic.AtomicLong

/** Exponentially weighted moving average, stored as the bits of a double in one atomic. */
internal class MovingAverage(initial: Double) {
    private val bits = AtomicLong(initial.toRawBits())

    fun get(): Double = Double.fromBits(bits.get())

    fun set(value: Double) = bits.set(value.toRawBits())

    /** Moves the average towards [sample] by the fraction [weight] of the difference. */
    fun add(sample: Double, weight: Double) {
        do {
            val before = bits.get()
            val old = Double.fromBits(before)
            val after = (old + (sample - old) * weight).toRawBits()
        } while (!bits.compareAndSet(before, after))
    }
}
