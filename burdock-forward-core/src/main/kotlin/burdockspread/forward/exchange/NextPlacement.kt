/** The placement of a request's next attempt. */
package burdockspread.forward.exchange

import burdockspread.forward.catalog.CallKind
import burdockspread.forward.load.AttemptOutcome
import burdockspread.forward.load.LoadPolicy
import burdockspread.forward.load.PlacementDecision
import burdockspread.forward.load.PlacementRequest
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Submits a request to the load policy; at most one placement is open at a time. */
internal class NextPlacement(
    private val call: Call,
    private val policy: LoadPolicy,
    private val history: AttemptHistory,
    private val options: ExchangeOptions,
) {
    /** Whether the load policy has queued the request. */
    var isQueued = false
        private set

    /** Requests a target for the first attempt or, after an attempt has ended, for a retry. */
    fun request(now: Instant): PlacementDecision = submit(nextAttempt(now), now)

    /**
     * Requests a target that takes over from the one of [silent], whose attempt stays in flight
     * until then and ends with [outcome].
     */
    fun requestTakeover(silent: Attempt, outcome: AttemptOutcome, now: Instant): PlacementDecision {
        val request = nextAttempt(now)
        return submit(
            request.copy(
                avoidedTargets = history.avoidedTargets.add(silent.target.id),
                preferredTarget = silent.replicaTarget?.id ?: request.preferredTarget,
                supersedes = outcome,
            ),
            now,
        )
    }

    /** Records that the load policy has decided on the queued request. */
    fun onDecided() {
        isQueued = false
    }

    /** Removes the request from the queue; returns false if it was not queued. */
    fun withdraw(): Boolean {
        if (!isQueued) return false
        policy.cancel(call.localId)
        isQueued = false
        return true
    }

    private fun submit(request: PlacementRequest, now: Instant): PlacementDecision =
        policy.submit(request, now).also { isQueued = it is PlacementDecision.Waiting }

    private fun nextAttempt(now: Instant): PlacementRequest {
        val prompt = call.prompt
        val first = history.count == 0
        val objective = call.route.latencyObjective
        val wait = if (first) objective * options.queueWaitFraction else options.maxResumeWait
        return PlacementRequest(
            localId = call.localId,
            promptTokens = prompt?.promptTokens ?: 0,
            outputTokens = prompt?.outputTokens ?: 0,
            prompt = prompt?.id,
            priority = call.priority,
            waitUntil = minOf(call.deadline, now + maxOf(wait, MIN_QUEUE_WAIT)),
            isResume = !first,
            avoidedTargets = history.avoidedTargets,
            preferredTarget = history.replica?.id,
            wantsReplica = call.route.kind == CallKind.RESUMABLE_STREAM,
            route = call.route.name,
        )
    }

    private companion object {
        val MIN_QUEUE_WAIT = 20.milliseconds
    }
}
