/** Approximate index of the targets that cache a prompt prefix, in bounded memory. */
package burdockspread.route

import java.util.concurrent.atomic.AtomicLongArray

/**
 * Set-associative table of (prefix hash, target, time).
 *
 * An entry is a single long, so that it is read and replaced atomically without a lock: 24 bits of
 * the hash as a tag (other bits select the set), 16 bits of the target's index, and 24 bits of time
 * in steps of 100 ms. A full set evicts its oldest entry.
 */
internal class PrefixIndex(entries: Int) {
    private val sets = Integer.highestOneBit(maxOf(entries, WAYS * 2) - 1) * 2 / WAYS
    private val cells = AtomicLongArray(sets * WAYS)

    /** Records that [target] caches the prefix [hash] as of [nowMillis]. */
    fun put(hash: Long, target: Int, nowMillis: Long) {
        val setStart = setStartOf(hash)
        val entry = pack(tagOf(hash), target, stepOf(nowMillis))
        var victim = setStart
        var oldest = Long.MAX_VALUE
        for (way in setStart until setStart + WAYS) {
            val cell = cells.get(way)
            if (cell != 0L && keyOf(cell) == keyOf(entry)) {
                cells.set(way, entry)
                return
            }
            val step = if (cell == 0L) -1 else cell and STEP_MASK
            if (step < oldest) {
                oldest = step
                victim = way
            }
        }
        cells.set(victim, entry)
    }

    /** Removes the record that [target] caches the prefix [hash]. */
    fun remove(hash: Long, target: Int) {
        val setStart = setStartOf(hash)
        val key = keyOf(pack(tagOf(hash), target, 0))
        for (way in setStart until setStart + WAYS) {
            val cell = cells.get(way)
            if (cell != 0L && keyOf(cell) == key) cells.compareAndSet(way, cell, 0)
        }
    }

    /** Calls [visit] with each target recorded for the prefix [hash] and the time of the record. */
    inline fun forEach(hash: Long, visit: (target: Int, millis: Long) -> Unit) {
        val setStart = setStartOf(hash)
        val tag = tagOf(hash)
        for (way in setStart until setStart + WAYS) {
            val cell = cellAt(way)
            if (cell != 0L && cell ushr TAG_SHIFT == tag) {
                visit(targetIn(cell), (cell and STEP_MASK) * STEP_MILLIS)
            }
        }
    }

    /** Converts [millis] to the index's own time, which is rounded and wraps after 19 days. */
    fun wrap(millis: Long): Long = stepOf(millis) * STEP_MILLIS

    /** Returns the age in milliseconds of a record made at the wrapped time [recorded]. */
    fun age(recorded: Long, nowMillis: Long): Long =
        Math.floorMod(stepOf(nowMillis) - recorded / STEP_MILLIS, STEP_MASK + 1) * STEP_MILLIS

    fun cellAt(way: Int): Long = cells.get(way)

    fun setStartOf(hash: Long): Int = (hash ushr SET_SHIFT and (sets - 1L)).toInt() * WAYS

    fun tagOf(hash: Long): Long = hash and TAG_MASK

    fun targetIn(cell: Long): Int = (cell ushr STEP_BITS and MAX_TARGET.toLong()).toInt()

    private fun keyOf(cell: Long): Long = cell ushr STEP_BITS

    private fun stepOf(millis: Long): Long = millis / STEP_MILLIS and STEP_MASK

    private fun pack(tag: Long, target: Int, step: Long): Long =
        (tag shl TAG_SHIFT) or (target.toLong() shl STEP_BITS) or step

    companion object {
        const val MAX_TARGET = 0xffff
        const val WAYS = 8
        const val STEP_MILLIS = 100L
        const val STEP_BITS = 24
        const val STEP_MASK = (1L shl STEP_BITS) - 1
        const val TAG_SHIFT = 40
        const val TAG_MASK = (1L shl 24) - 1
        const val SET_SHIFT = 24
    }
}
