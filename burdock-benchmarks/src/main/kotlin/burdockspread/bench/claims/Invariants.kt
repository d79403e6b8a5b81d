/** Guarantees to callers, checked against the calls that reached the service. */
package burdockspread.bench.claims

import burdockspread.claim.ClaimAttempt
import burdockspread.claim.ClaimDecision
import burdockspread.claim.ClaimId
import burdockspread.claim.KeyHash

/** A guarantee that a schedule violated. */
internal enum class Violation {
    SENT_TWICE,
    NOT_RUN_AFTER_SEND,
    SENT_AFTER_NOT_RUN,
    WRONG_ANSWER,
    NO_DECISION,
    STUCK_KEY,
    LOG_BROKEN,
    FINAL_DECISIONS_DIFFER,
}

/** Checks each decision when it is reported and each send when it happens. */
internal class Invariants(private val desk: OrderDesk) {
    val violations = LinkedHashSet<Violation>()
    private val notRunKeys = HashSet<KeyHash>()
    private val refusedClaims = HashSet<ClaimId>()
    private val mismatchedBodies = HashSet<ClaimBody>()

    // A caller must wait for the response to a first send before it sends the key again.
    private val latestIds = HashMap<KeyHash, ClaimId>()

    private data class ClaimBody(val key: KeyHash, val body: String)

    fun onAttempt(attempt: ClaimAttempt) {
        latestIds[attempt.key] = attempt.id
    }

    fun onSend(attempt: ClaimAttempt, claim: ClaimId) {
        if (desk.count(attempt.key) > 1) violations += Violation.SENT_TWICE
        val wasRefused = claim in refusedClaims ||
            attempt.key in notRunKeys ||
            ClaimBody(attempt.key, attempt.bodyHash.hex) in mismatchedBodies
        if (wasRefused) violations += Violation.SENT_AFTER_NOT_RUN
    }

    fun onDecision(attempt: ClaimAttempt, decision: ClaimDecision) {
        when (decision) {
            is ClaimDecision.NotRun -> {
                notRunKeys += attempt.key
                requireNoSend(desk.count(attempt.key))
            }
            is ClaimDecision.Unavailable -> {
                refusedClaims += attempt.id
                if (latestIds[attempt.key] == attempt.id) requireNoSend(desk.count(attempt.key))
            }
            is ClaimDecision.KeyReused -> {
                mismatchedBodies += ClaimBody(attempt.key, attempt.bodyHash.hex)
                requireNoSend(desk.count(attempt.key, attempt.bodyHash))
            }
            is ClaimDecision.AlreadyDone ->
                if (decision.answer != desk.onlyResponse(attempt.key)) {
                    violations += Violation.WRONG_ANSWER
                }
            else -> Unit
        }
    }

    private fun requireNoSend(sends: Int) {
        if (sends > 0) violations += Violation.NOT_RUN_AFTER_SEND
    }
}
