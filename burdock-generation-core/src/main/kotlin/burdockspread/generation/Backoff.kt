/** Growing pauses between tries. */
package burdockspread.generation

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Pauses that double from [FIRST] to [LAST]. */
internal class Backoff {
    private var pause = FIRST

    fun next(): Duration = pause.also { pause = (pause * 2).coerceAtMost(LAST) }

    fun reset() {
        pause = FIRST
    }

    private companion object {
        val FIRST = 50.milliseconds
        val LAST = 1.seconds
    }
}
