/** Clock of a process. */
package burdockspread.settings

import burdockspread.time.TimeSource
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Instant

/** Clock that advances by monotonic time from the wall-clock time at which it was created. */
public class MonotonicClock : TimeSource {
    private val startNanos = System.nanoTime()
    private val start = kotlin.time.Clock.System.now()

    override fun now(): Instant = start + (System.nanoTime() - startNanos).nanoseconds
}
