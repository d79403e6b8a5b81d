/** Which targets probably hold which prompt prefixes, in bounded memory. */
package burdockspread.route

import java.util.concurrent.atomic.AtomicLongArray

/**
 * A set-associative table of (prefix hash, target, time).
 *
 * An entry is one long, so that it is read and replaced as a whole without a lock: 24 bits of the
 * hash beside its place in the table, 16 bits of the target's number, 24 bits of time in steps of
 * 100 ms. The oldest entry of a set gives way.
 */
internal class PrefixIndex(entries: Int) {
    private val sets = Integer.highestOneBit(maxOf(entries, WAYS * 2) - 1) * 2 / WAYS
    private val cells = AtomicLongArray(sets * WAYS)

    /** Records that [target] holds the prefix [hash] since [nowMillis]. */
    fun put(hash: Long, target: Int, nowMillis: Long) {
        val base = baseOf(hash)
        val entry = pack(tagOf(hash), target, stepOf(nowMillis))
        var place = base
        var oldest = Long.MAX_VALUE
        for (way in base until base + WAYS) {
            val cell = cells.get(way)
            if (cell != 0L && keyOf(cell) == keyOf(entry)) {
                cells.set(way, entry)
                return
            }
            val step = if (cell == 0L) -1 else cell and STEP_MASK
            if (step < oldest) {
                oldest = step
                place = way
            }
        }
        cells.set(place, entry)
    }

    /** Forgets that [target] holds the prefix [hash]. */
    fun remove(hash: Long, target: Int) {
        val base = baseOf(hash)
        val key = keyOf(pack(tagOf(hash), target, 0))
        for (way in base until base + WAYS) {
            val cell = cells.get(way)
            if (cell != 0L && keyOf(cell) == key) cells.compareAndSet(way, cell, 0)
        }
    }

    /** Calls [visit] with each target that has the prefix [hash] and the time of the record. */
    inline fun forEach(hash: Long, visit: (target: Int, millis: Long) -> Unit) {
        val base = baseOf(hash)
        val tag = tagOf(hash)
        for (way in base until base + WAYS) {
            val cell = cellAt(way)
            if (cell != 0L && cell ushr TAG_SHIFT == tag) {
                visit(targetIn(cell), (cell and STEP_MASK) * STEP_MILLIS)
            }
        }
    }

    /** Rounds [millis] to the index's own time, which wraps after 19 days. */
    fun wrap(millis: Long): Long = stepOf(millis) * STEP_MILLIS

    /** Age in milliseconds of a record made at the wrapped time [recorded]. */
    fun age(recorded: Long, nowMillis: Long): Long =
        Math.floorMod(stepOf(nowMillis) - recorded / STEP_MILLIS, STEP_MASK + 1) * STEP_MILLIS

    fun cellAt(way: Int): Long = cells.get(way)

    fun baseOf(hash: Long): Int = (hash ushr SET_SHIFT and (sets - 1L)).toInt() * WAYS

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
