/**
 * What may be concluded from the silence of a target: from the absence of events, of the answer to
 * a probe or of a whole response.
 *
 * A silent target may be slow, paused or cut off for a moment, so silence alone never ends a
 * caller's response. Where the request may be repeated, another target may take over. The attempt
 * at the silent target goes on until the other target has been placed; it keeps the request if it
 * makes progress first or if no other target can be placed. Where the request may run once, or a
 * part of a response that cannot be resumed has been forwarded, silence has no consequence.
 *
 * A target that has died is found by its broken connection, which the TCP keep-alive also detects,
 * or by the deadline.
 */
package burdockspread.forward.exchange

import burdockspread.forward.catalog.Route
import burdockspread.forward.load.AttemptOutcome
import kotlin.time.Duration
import kotlin.time.Instant

/** What follows from the silence of a target. */
internal enum class SilenceConclusion {
    /** The target has to be probed, since no event is due that would show whether it works. */
    PROBE,

    /** Another target may take over as soon as it has been placed. */
    TAKE_OVER,

    /** Only the target, its connection, the caller, the deadline or a stop ends the attempt. */
    TOLERATE,
}

/** Decides for all kinds of calls what follows from the silence of a target. */
internal class SilencePolicy(private val route: Route, private val options: ExchangeOptions) {
    private val kind = route.kind

    /** How an attempt has ended whose request another target took over. */
    val outcome: AttemptOutcome =
        if (kind.isStream) AttemptOutcome.SILENT else AttemptOutcome.FAILED

    /** Returns the instant at which [conclude] is due if the target stays silent. */
    fun nextCheck(attempt: Attempt): Instant = when {
        attempt.isSilenceTolerated -> Instant.DISTANT_FUTURE
        kind.isStream -> minOf(probeAt(attempt), takeoverAt(attempt))
        else -> takeoverAt(attempt)
    }

    /** Returns what follows if the target has been silent until [nextCheck]. */
    fun conclude(attempt: Attempt, now: Instant): SilenceConclusion = when {
        !mayBeTakenOver(attempt) -> SilenceConclusion.TOLERATE
        now >= takeoverAt(attempt) -> SilenceConclusion.TAKE_OVER
        else -> SilenceConclusion.PROBE
    }

    /** Returns what follows if the target has not answered a probe. */
    fun concludeFromProbe(attempt: Attempt): SilenceConclusion =
        if (mayBeTakenOver(attempt)) SilenceConclusion.TAKE_OVER else SilenceConclusion.TOLERATE

    private fun mayBeTakenOver(attempt: Attempt) = kind.isRepeatable && !attempt.isRelaying

    private fun probeAt(attempt: Attempt): Instant =
        maxOf(attempt.silentSince, attempt.lastProbedAt) + options.probeAfter

    private fun takeoverAt(attempt: Attempt): Instant =
        attempt.silentSince + takeoverTimeout(attempt)

    /** Returns the silence after which another target may take over without a probe. */
    private fun takeoverTimeout(attempt: Attempt): Duration = when {
        !kind.isStream -> route.latencyObjective * options.silenceTimeoutFactor
        attempt.eventCount == 0 || !kind.isRepeatable -> Duration.INFINITE
        attempt.replicaTarget != null -> options.stallTimeoutWithReplica
        else -> options.stallTimeoutWithoutReplica
    }
}
