/** An exponentially weighted average in one atomic. */
package burdockspread.route

import java.util.concurrent.atomic.AtomicLong

/** Average of samples of which each new one counts a given part. */
internal class Average(initial: Double) {
    private val bits = AtomicLong(initial.toRawBits())

    fun get(): Double = Double.fromBits(bits.get())

    fun set(value: Double) = bits.set(value.toRawBits())

    /** Moves the average towards [sample] by [part] of the difference. */
    fun add(sample: Double, part: Double) {
        do {
            val before = bits.get()
            val old = Double.fromBits(before)
            val after = (old + (sample - old) * part).toRawBits()
        } while (!bits.compareAndSet(before, after))
    }
}
