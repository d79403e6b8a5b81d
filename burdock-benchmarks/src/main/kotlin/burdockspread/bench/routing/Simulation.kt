/** Discrete-event simulation in virtual time. */
package burdockspread.bench.routing

import java.util.PriorityQueue
import kotlin.time.Instant

/** Event queue in virtual time; events at the same microsecond run in insertion order. */
internal class Simulation {
    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.sequence })
    private var sequence = 0L
    var micros: Long = 0
        private set

    val seconds: Double get() = micros / MICROS_PER_SECOND

    val now: Instant
        get() = Instant.fromEpochSeconds(EPOCH_SECONDS, micros * NANOS_PER_MICRO)

    fun after(seconds: Double, action: () -> Unit) {
        val at = micros + (seconds * MICROS_PER_SECOND).toLong()
        events += Event(at, sequence++, action)
    }

    fun every(seconds: Double, first: Double = seconds, action: () -> Unit) {
        after(first) {
            action()
            every(seconds, seconds, action)
        }
    }

    fun runUntil(seconds: Double) {
        val end = (seconds * MICROS_PER_SECOND).toLong()
        while (true) {
            val next = events.peek() ?: return
            if (next.at > end) return
            events.poll()
            micros = next.at
            next.action()
        }
    }

    private class Event(val at: Long, val sequence: Long, val action: () -> Unit)

    private companion object {
        const val MICROS_PER_SECOND = 1e6
        const val NANOS_PER_MICRO = 1_000L
        const val EPOCH_SECONDS = 1_700_000_000L
    }
}
