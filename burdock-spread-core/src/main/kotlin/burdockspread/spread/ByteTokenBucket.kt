/** Rate limit of the bytes that a host sends. */
package burdockspread.spread

import kotlin.time.DurationUnit
import kotlin.time.Instant

/** A token bucket whose level may become negative by one message. */
internal class ByteTokenBucket(private val bytesPerSecond: Int, private val burstBytes: Int) {
    private var available = burstBytes.toDouble()
    private var refilledAt: Instant? = null

    var sentBytes: Long = 0
        private set

    fun available(now: Instant): Long {
        val lastRefill = refilledAt
        if (lastRefill != null && now > lastRefill) {
            val seconds = (now - lastRefill).toDouble(DurationUnit.SECONDS)
            available = minOf(burstBytes.toDouble(), available + seconds * bytesPerSecond)
        }
        refilledAt = now
        return available.toLong()
    }

    fun level(): Long = available.toLong()

    fun spend(bytes: Int) {
        available -= bytes
        sentBytes += bytes
    }
}
