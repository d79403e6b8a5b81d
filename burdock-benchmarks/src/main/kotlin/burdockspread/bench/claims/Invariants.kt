/** The promises to callers, checked against what the order desk saw. */
package burdockspread.bench.claims

import burdockspread.claim.ClaimAttempt
import burdockspread.claim.ClaimDecision
import burdockspread.claim.ClaimId
import burdockspread.claim.KeyHash

/** A promise that a schedule broke. */
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

/** Checks each answer when it is told and each send when it happens. */
internal class Invariants(private val desk: OrderDesk) {
    val violations = LinkedHashSet<Violation>()
    private val notRunKeys = HashSet<KeyHash>()
    private val refusedClaims = HashSet<ClaimId>()
    private val reusedBodies = HashSet<ClaimBody>()

    // A first send binds its caller to wait for the answer before it sends the key again.
    private val newestAsks = HashMap<KeyHash, ClaimId>()

    private data class ClaimBody(val key: KeyHash, val body: String)

    fun onAsk(ask: ClaimAttempt) {
        newestAsks[ask.key] = ask.id
    }

    fun onSend(ask: ClaimAttempt, claim: ClaimId) {
        if (desk.count(ask.key) > 1) violations += Violation.SENT_TWICE
        val refused = claim in refusedClaims ||
            ask.key in notRunKeys ||
            ClaimBody(ask.key, ask.bodyHash.hex) in reusedBodies
        if (refused) violations += Violation.SENT_AFTER_NOT_RUN
    }

    fun onDecision(ask: ClaimAttempt, decision: ClaimDecision) {
        when (decision) {
            is ClaimDecision.NotRun -> {
                notRunKeys += ask.key
                requireNoSend(desk.count(ask.key))
            }
            is ClaimDecision.Unavailable -> {
                refusedClaims += ask.id
                if (newestAsks[ask.key] == ask.id) requireNoSend(desk.count(ask.key))
            }
            is ClaimDecision.KeyReused -> {
                reusedBodies += ClaimBody(ask.key, ask.bodyHash.hex)
                requireNoSend(desk.count(ask.key, ask.bodyHash))
            }
            is ClaimDecision.AlreadyDone ->
                if (decision.answer != desk.onlyAnswer(ask.key)) {
                    violations += Violation.WRONG_ANSWER
                }
            else -> Unit
        }
    }

    private fun requireNoSend(sends: Int) {
        if (sends > 0) violations += Violation.NOT_RUN_AFTER_SEND
    }
}
