/** Attempts and outcomes of one process that are waiting for the log of their shard. */
package burdockspread.claim

import burdockspread.wire.claims.ClaimRecord
import kotlin.time.Instant

/**
 * Decides attempts by the contents of the index.
 *
 * A claim is *unresolved* while a write that carries it has no answer. An unresolved claim whose
 * caller has already been answered is *abandoned*: its call is never sent, so it is recorded as not
 * run if the claim turns out to be committed.
 */
internal class ClaimQueue(private val settings: ClaimSettings) {
    private val attempts = LinkedHashMap<ClaimId, ClaimAttempt>()
    private val outcomes = LinkedHashMap<KeyHash, QueuedOutcome>()
    private val unresolved = HashSet<ClaimId>()
    private val lastWritten = HashSet<ClaimId>()
    private val abandoned = LinkedHashMap<ClaimId, ClaimAttempt>()
    private var results = ArrayList<ClaimResult>()

    private class QueuedOutcome(val record: ClaimRecord, val at: Instant)

    val pendingCount: Int get() = attempts.size
    val queuedOutcomes: Int get() = outcomes.size
    val unresolvedCount: Int get() = unresolved.size
    val nextDeadline: Instant? get() = attempts.values.firstOrNull()?.let { deadline(it) }
    val outcomesDue: Instant?
        get() = outcomes.values.firstOrNull()?.let { it.at + settings.outcomeDelay }

    fun add(attempt: ClaimAttempt) {
        if (attempts.size < settings.maxPendingClaims) {
            attempts[attempt.id] = attempt
        } else {
            fail(attempt, "too many claims are pending")
        }
    }

    fun cancel(id: ClaimId) {
        val attempt = attempts.remove(id) ?: return
        if (id in unresolved) abandoned[id] = attempt
    }

    fun record(record: ClaimRecord, key: KeyHash, now: Instant) {
        outcomes[key] = QueuedOutcome(record, now)
    }

    fun takeResults(): List<ClaimResult> {
        val taken = results
        results = ArrayList()
        return taken
    }

    /** Completes each attempt that the index or its deadline decides. */
    fun completeDecided(index: ShardIndex, headVerifiedAt: Instant, now: Instant) {
        for (attempt in attempts.values.toList()) {
            val entry = index[attempt.key]
            if (entry != null) {
                decide(attempt, entry, headVerifiedAt, now)?.let { complete(attempt, it) }
            } else if (now >= deadline(attempt)) {
                fail(attempt, "the store does not answer")
            }
        }
    }

    /**
     * Whether an attempt needs a newer head: its key is claimed and the outcome may be recorded.
     */
    fun needsNewerHead(index: ShardIndex, headVerifiedAt: Instant): Boolean =
        attempts.values.any { attempt ->
            headVerifiedAt < attempt.requestedAt &&
                index[attempt.key]?.let { it.outcome == null } == true
        }

    /** Whether an abandoned claim may still be committed. Any newer head resolves that. */
    val hasAbandoned: Boolean get() = abandoned.isNotEmpty()

    fun hasClaims(index: ShardIndex): Boolean = attempts.values.any { index[it.key] == null }

    /**
     * Returns the records of the next write. Their claims are unresolved until the write is
     * answered.
     */
    fun compose(index: ShardIndex): List<ClaimRecord> {
        val claims = attempts.values
            .filter { index[it.key] == null }
            .distinctBy { it.key }
            .take(settings.maxBatchRecords)
        lastWritten.clear()
        claims.forEach { if (unresolved.add(it.id)) lastWritten.add(it.id) }
        val room = settings.maxBatchRecords - claims.size
        return claims.map { claimedRecord(it) } + outcomes.values.take(room).map { it.record }
    }

    /**
     * The last write was provably not applied. Earlier writes without an answer stay unresolved.
     */
    fun onLastWriteRejected() {
        unresolved.removeAll(lastWritten)
        lastWritten.clear()
    }

    /**
     * The head has advanced, so each earlier write is either in the index or will never be applied.
     */
    fun resolve(index: ShardIndex, now: Instant) {
        abandoned.values.forEach { resolveAbandoned(it, index, now) }
        abandoned.clear()
        unresolved.clear()
        lastWritten.clear()
        outcomes.entries.removeIf { (key, queued) ->
            index[key]?.isHeldBy(ClaimId(queued.record.claimId)) != true
        }
    }

    private fun resolveAbandoned(attempt: ClaimAttempt, index: ShardIndex, now: Instant) {
        val entry = index[attempt.key]?.takeIf { it.isHeldBy(attempt.id) } ?: return
        val sendBefore = entry.claimedAt + settings.sendTimeout
        val successor = attempts.values
            .firstOrNull { it.key == attempt.key && it.bodyHash == attempt.bodyHash }
        if (successor != null && now <= sendBefore) {
            complete(successor, ClaimDecision.Send(SendPermit(attempt.id, attempt.key, sendBefore)))
        } else {
            record(notRunRecord(attempt.key, attempt.id), attempt.key, now)
        }
    }

    private fun decide(
        attempt: ClaimAttempt,
        entry: ClaimEntry,
        headVerifiedAt: Instant,
        now: Instant,
    ): ClaimDecision? {
        if (!entry.hasBody(attempt.bodyHash)) return ClaimDecision.KeyReused
        if (entry.isHeldBy(attempt.id)) return ClaimDecision.Send(permit(attempt))
        outcomes[attempt.key]?.let { return it.record.toDecision() }
        entry.outcome?.let { return it }
        if (headVerifiedAt < attempt.requestedAt && now < deadline(attempt)) return null
        val age = now - entry.claimedAt
        return if (age > settings.outcomeTimeout) {
            ClaimDecision.OutcomeUnknown
        } else {
            ClaimDecision.InProgress
        }
    }

    private fun permit(attempt: ClaimAttempt) =
        SendPermit(attempt.id, attempt.key, attempt.requestedAt + settings.sendTimeout)

    private fun fail(attempt: ClaimAttempt, reason: String) {
        val decision = when {
            attempt.id in unresolved -> ClaimDecision.Pending("the claim's write was not answered")
            attempt.firstSend -> ClaimDecision.Unavailable(reason)
            else -> ClaimDecision.Pending("$reason and an earlier send may have claimed the key")
        }
        cancel(attempt.id)
        complete(attempt, decision)
    }

    private fun complete(attempt: ClaimAttempt, decision: ClaimDecision) {
        attempts.remove(attempt.id)
        results += ClaimResult(attempt.id, decision)
    }

    private fun deadline(attempt: ClaimAttempt): Instant =
        attempt.requestedAt + settings.claimTimeout
}
