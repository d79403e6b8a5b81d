/** Exponential backoff between attempts. */
package burdockspread.generation

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Exponential delays from [INITIAL_DELAY] to [MAX_DELAY], doubling each time. */
internal class Backoff {
    private var delay = INITIAL_DELAY

    fun next(): Duration = delay.also { delay = (delay * 2).coerceAtMost(MAX_DELAY) }

    fun reset() {
        delay = INITIAL_DELAY
    }

    private companion object {
        val INITIAL_DELAY = 50.milliseconds
        val MAX_DELAY = 1.seconds
    }
}
