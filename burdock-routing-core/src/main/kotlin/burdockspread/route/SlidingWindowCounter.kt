/** Counter of recent changes by time, for example to correct an outdated load report. */
package burdockspread.route

import java.util.concurrent.atomic.AtomicLongArray

/**
 * Lock-free sliding window counter over the last eight seconds, with one cell per half second.
 *
 * Each cell packs its time slot with a signed count, so that a single atomic write replaces an
 * expired cell.
 */
internal class SlidingWindowCounter {
    private val cells = AtomicLongArray(CELLS)

    /** Adds [change] to the cell of [nowMillis]. */
    fun add(change: Int, nowMillis: Long) {
        val slot = slotOf(nowMillis)
        val index = indexOf(slot)
        cells.updateAndGet(index) { cell ->
            val count = if (slotIn(cell) == slot) countIn(cell) else 0
            pack(slot, count + change)
        }
    }

    /** Returns the sum of the changes since [sinceMillis], at most eight seconds back. */
    fun sumSince(sinceMillis: Long, nowMillis: Long): Int {
        val last = slotOf(nowMillis)
        val first = maxOf(slotOf(sinceMillis), last - CELLS + 1)
        var sum = 0
        for (slot in first..last) {
            val cell = cells.get(indexOf(slot))
            if (slotIn(cell) == slot) sum += countIn(cell)
        }
        return sum
    }

    private fun slotOf(millis: Long): Long = millis / CELL_MILLIS and SLOT_MASK

    private fun indexOf(slot: Long): Int = (slot and (CELLS - 1L)).toInt()

    private fun slotIn(cell: Long): Long = cell ushr COUNT_BITS

    private fun countIn(cell: Long): Int = cell.toInt()

    private fun pack(slot: Long, count: Int): Long =
        (slot shl COUNT_BITS) or (count.toLong() and COUNT_MASK)

    private companion object {
        const val CELLS = 16
        const val CELL_MILLIS = 500L
        const val COUNT_BITS = 32
        const val COUNT_MASK = 0xffffffffL
        const val SLOT_MASK = 0xffffffffL
    }
}
