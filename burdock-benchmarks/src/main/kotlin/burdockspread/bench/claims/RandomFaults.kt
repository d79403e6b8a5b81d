/** Random store faults and outages. */
package burdockspread.bench.claims

import burdockspread.fakes.store.StoreFault
import burdockspread.fakes.store.StoreFaults
import kotlin.random.Random

/** Draws a fault for each call. During an outage, every call has the same fault. */
internal class RandomFaults(private val random: Random) : StoreFaults {
    var outage: StoreFault? = null
    var isHealed = false

    override fun next(): StoreFault {
        if (isHealed) return StoreFault.NONE
        outage?.let { return it }
        return when (random.nextInt(100)) {
            in 0 until 4 -> StoreFault.REFUSED
            in 4 until 10 -> StoreFault.ANSWER_LOST
            in 10 until 13 -> StoreFault.CALL_LOST
            in 13 until 18 -> StoreFault.CALL_LATE
            in 18 until 26 -> StoreFault.STALE_READ
            else -> StoreFault.NONE
        }
    }

    fun toggleOutage() {
        outage = if (outage == null) OUTAGES.random(random) else null
    }

    private companion object {
        val OUTAGES = listOf(
            StoreFault.REFUSED,
            StoreFault.ANSWER_LOST,
            StoreFault.CALL_LOST,
            StoreFault.CALL_LATE,
        )
    }
}
