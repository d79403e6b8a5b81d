/** The clock of a process. */
package burdockspread.settings

import burdockspread.time.TimeSource
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Instant

/** Counts on from the wall-clock time at the start of the process by the monotonic clock. */
public class MonotonicClock : TimeSource {
    private val startNanos = System.nanoTime()
    private val start = kotlin.time.Clock.System.now()

    override fun now(): Instant = start + (System.nanoTime() - startNanos).nanoseconds
}
