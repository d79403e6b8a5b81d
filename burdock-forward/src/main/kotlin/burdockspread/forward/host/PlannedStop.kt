/** The phases of a planned stop, from SIGTERM to the end of the process. */
package burdockspread.forward.host

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Phase of a planned stop. */
internal enum class StopPhase {
    /** The host is not ready, accepts requests that can complete and finishes the open ones. */
    DRAINING,

    /** The host listens no longer, ends the open requests and closes its connections. */
    ENDING,

    /** All responses are written and all connections closed, or time is up. */
    STOPPED,
}

/** What a host still has in hand. */
internal data class OpenWork(val requests: Int, val connections: Int)

/**
 * State machine of a stop that began at [startedAt]. The platform kills the process when [grace]
 * has passed.
 */
internal class PlannedStop(private val startedAt: Instant, grace: Duration) {
    private val endAt = startedAt + (grace - ENDING_TIME).coerceAtLeast(Duration.ZERO)
    private val stopAt = startedAt + (grace - EXIT_TIME).coerceAtLeast(Duration.ZERO)

    var phase: StopPhase = StopPhase.DRAINING
        private set

    /**
     * Returns whether a request may still be sent to a target for the first time: while the
     * balancer may still send callers here, and only if the rest of the grace period suffices for
     * what it usually takes, or until its [deadline].
     */
    fun accepts(isStream: Boolean, deadline: Instant, now: Instant): Boolean {
        if (phase != StopPhase.DRAINING || now - startedAt >= CALL_ACCEPT_TIME) return false
        val needed = if (isStream) STREAM_TIME else CALL_TIME
        return endAt - now > minOf(needed, deadline - now)
    }

    /** Returns the phase that begins at [now], or null if the current one continues. */
    fun advance(open: OpenWork, now: Instant): StopPhase? {
        val next = when (phase) {
            StopPhase.DRAINING -> StopPhase.ENDING.takeIf { now >= endAt || isIdle(open, now) }
            StopPhase.ENDING -> StopPhase.STOPPED.takeIf { now >= stopAt || open == NOTHING }
            StopPhase.STOPPED -> null
        }
        if (next != null) phase = next
        return next
    }

    private fun isIdle(open: OpenWork, now: Instant) =
        open.requests == 0 && now - startedAt >= BALANCER_DRAIN_TIME

    companion object {
        /** The balancer stops sending callers here after two failed probes, a second apart. */
        val CALL_ACCEPT_TIME: Duration = 3.seconds

        /** What streams usually take, with the wait for a target. */
        val STREAM_TIME: Duration = 6_100.milliseconds

        /** What calls usually take at most, beside a target that fails. */
        val CALL_TIME: Duration = 1_500.milliseconds

        /** The balancer probes every second and removes a host after two failed probes. */
        val BALANCER_DRAIN_TIME: Duration = 3_500.milliseconds

        /**
         * Part of the grace period that is reserved for refusals to be written and connections to
         * be closed, which lingers for 300 ms, and for the exit of the process.
         */
        val ENDING_TIME: Duration = 900.milliseconds

        /** Part of the grace period that is reserved for the exit of the process. */
        val EXIT_TIME: Duration = 250.milliseconds
        private val NOTHING = OpenWork(requests = 0, connections = 0)
    }
}
