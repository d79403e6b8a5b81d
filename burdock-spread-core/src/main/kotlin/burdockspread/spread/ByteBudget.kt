/** Bound of the bytes that a host sends. */
package burdockspread.spread

import kotlin.time.DurationUnit
import kotlin.time.Instant

/** A token bucket that may go into debt by one message. */
internal class ByteBudget(private val bytesPerSecond: Int, private val burstBytes: Int) {
    private var available = burstBytes.toDouble()
    private var filledAt: Instant? = null

    var sent: Long = 0
        private set

    fun available(now: Instant): Long {
        val since = filledAt
        if (since != null && now > since) {
            val seconds = (now - since).toDouble(DurationUnit.SECONDS)
            available = minOf(burstBytes.toDouble(), available + seconds * bytesPerSecond)
        }
        filledAt = now
        return available.toLong()
    }

    fun level(): Long = available.toLong()

    fun spend(bytes: Int) {
        available -= bytes
        sent += bytes
    }
}
