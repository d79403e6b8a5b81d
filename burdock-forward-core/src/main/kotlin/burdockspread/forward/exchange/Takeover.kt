/** The takeover of a request from a silent target by another one. */
package burdockspread.forward.exchange

import burdockspread.forward.load.AttemptOutcome
import burdockspread.forward.load.PlacementDecision
import kotlin.time.Instant

/**
 * Requests a successor for a silent attempt, which goes on meanwhile. A takeover that does not
 * happen leaves the attempt as it is and returns its retries to the budget. A second retry is held
 * until the successor has accepted the request, since the silent attempt is cut before that.
 */
internal class Takeover(
    private val call: Call,
    private val placement: NextPlacement,
    private val history: AttemptHistory,
    private val listener: ExchangeListener,
) {
    /** Returns the placement of the successor of [attempt] if it can take over immediately. */
    fun request(
        attempt: Attempt,
        outcome: AttemptOutcome,
        now: Instant,
    ): PlacementDecision.Placed? {
        if (placement.isQueued || attempt.isSilenceTolerated) return null
        attempt.lastTakeoverRequestedAt = now
        if (!history.hasAttemptsLeft(now)) {
            tolerate(attempt, "no further attempt is allowed", now)
            return null
        }
        if (!history.holdRetries(RETRIES)) {
            report(attempt, "the retry budget is spent", now)
            return null
        }
        listener.onTakeoverRequested(
            call,
            attempt.number,
            attempt.target,
            attempt.silence(now),
            now,
        )
        return settle(attempt, placement.requestTakeover(attempt, outcome, now), now)
    }

    /** Returns the placement of the successor of [attempt] if a queued takeover is to happen. */
    fun onDecision(
        attempt: Attempt,
        decision: PlacementDecision,
        now: Instant,
    ): PlacementDecision.Placed? {
        attempt.lastTakeoverRequestedAt = now
        return settle(attempt, decision, now)
    }

    /** Withdraws a queued takeover of [attempt] after its target has made progress. */
    fun onReceived(attempt: Attempt, now: Instant) {
        if (attempt.lastProgressAt >= attempt.lastTakeoverRequestedAt) {
            withdraw(attempt, "the target went on", now)
        }
    }

    /** Withdraws a queued takeover of [attempt], if any. */
    fun withdraw(attempt: Attempt, reason: String, now: Instant) {
        if (!placement.withdraw()) return
        history.releaseRetries()
        listener.onTakeoverWithdrawn(call, attempt.number, attempt.target, reason, now)
    }

    /** Stops the checks of [attempt] for silence. */
    fun tolerate(attempt: Attempt, reason: String, now: Instant) {
        attempt.isSilenceTolerated = true
        report(attempt, reason, now)
    }

    private fun settle(
        attempt: Attempt,
        decision: PlacementDecision,
        now: Instant,
    ): PlacementDecision.Placed? {
        if (decision is PlacementDecision.Refused) {
            history.releaseRetries()
            val reason = "refused: ${decision.refusal.detail}"
            listener.onTakeoverWithdrawn(call, attempt.number, attempt.target, reason, now)
            report(attempt, "no other target can take over", now)
        }
        return decision as? PlacementDecision.Placed
    }

    /** Reports once per attempt that its silence has no consequence at present. */
    private fun report(attempt: Attempt, reason: String, now: Instant) {
        if (attempt.isToleranceReported) return
        attempt.isToleranceReported = true
        listener.onSilenceTolerated(
            call,
            attempt.number,
            attempt.target,
            "silent for ${attempt.silence(now)}, $reason",
            now,
        )
    }

    private companion object {
        /** The takeover and, if the successor does not accept the request, another attempt. */
        const val RETRIES = 2
    }
}
