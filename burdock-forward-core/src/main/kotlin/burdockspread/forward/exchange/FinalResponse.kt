/** The end of a request for which no further attempt is made. */
package burdockspread.forward.exchange

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import kotlin.time.Instant

/** Ends a response in the way that its phase and the request's attempts leave open. */
internal class FinalResponse(
    private val call: Call,
    private val emitter: ResponseEmitter,
    private val history: AttemptHistory,
) {
    /** Error response of a target, forwarded if no later attempt succeeds. */
    var lastErrorResponse: BufferedResponse? = null

    /** Ends with a target's error response, with [refusal], or by aborting a started response. */
    fun end(refusal: Refusal, now: Instant) {
        val attempts = history.count
        when (val phase = emitter.phase) {
            is BegunPhase -> phase.abort(refusal.detail, attempts, now)
            is ResponseEmitter.NotBegun -> {
                val errorResponse = lastErrorResponse
                if (errorResponse != null) return phase.respond(errorResponse, attempts, now)
                val kind = call.route.kind
                phase.refuse(withoutNotRunClaim(refusal, kind, history.delivered), attempts, now)
            }
            is ResponseEmitter.Ended -> Unit
        }
    }

    fun endAtDeadline(now: Instant) {
        val code =
            if (history.delivered > 0) ErrorCode.TARGET_TIMEOUT else ErrorCode.DEADLINE_UNREACHABLE
        end(Refusal(code, "the deadline passed after ${history.count} attempts", null), now)
    }
}
