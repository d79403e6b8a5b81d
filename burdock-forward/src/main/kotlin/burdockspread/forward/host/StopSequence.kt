/** Execution of a planned stop on the request loop. */
package burdockspread.forward.host

import burdockspread.time.TimeSource
import io.netty.channel.EventLoop
import org.apache.logging.log4j.LogManager
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** What a stopping host does in the phases of its stop. */
internal interface StoppingHost {
    /** Returns what is still in hand. */
    fun openWork(): OpenWork

    /** Refuses requests that still wait although [stop] no longer accepts them. */
    fun refuseWaiting(stop: PlannedStop, now: Instant)

    /** Reads the accept queue, stops listening and ends all open requests. */
    fun end(now: Instant)

    /** Refuses what has arrived and closes connections on which nothing is left to write. */
    fun closeConnections(now: Instant)

    /** Called when the process may exit; the connections of [open] are cut by that. */
    fun onStopped(open: OpenWork, now: Instant)
}

/** Moves [stop] on every [INTERVAL]; a step that throws is logged and does not hold up the next. */
internal class StopSequence(
    private val stop: PlannedStop,
    private val host: StoppingHost,
    private val loop: EventLoop,
    private val clock: TimeSource,
) {
    /** Starts the sequence. */
    fun start(): Unit = loop.execute(::step)

    private fun step() {
        val now = clock.now()
        try {
            advance(now)
        } catch (e: Throwable) {
            log.error("a step of the planned stop failed in phase {}", stop.phase, e)
        }
        if (stop.phase == StopPhase.STOPPED) return
        loop.schedule(::step, INTERVAL.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun advance(now: Instant) {
        val open = host.openWork()
        when (stop.advance(open, now)) {
            StopPhase.ENDING -> host.end(now)
            StopPhase.STOPPED -> host.onStopped(open, now)
            StopPhase.DRAINING, null -> Unit
        }
        when (stop.phase) {
            StopPhase.DRAINING -> host.refuseWaiting(stop, now)
            StopPhase.ENDING -> host.closeConnections(now)
            StopPhase.STOPPED -> Unit
        }
    }

    private companion object {
        /** Short against the time within which a refusal should reach its caller. */
        val INTERVAL = 50.milliseconds
        val log = LogManager.getLogger("stop")
    }
}
