/** The asks and outcomes of one process that wait for the log of their shard. */
package burdockspread.claim

import burdockspread.wire.claims.ClaimRecord
import kotlin.time.Instant

/**
 * Decides on asks from what the index shows.
 *
 * A claim is *doubtful* while a write that carries it has no answer. A doubtful claim whose caller
 * was answered is *forfeited*: it is never sent, so it becomes "not run" if it turns out to be in.
 */
internal class ClaimQueue(private val settings: ClaimSettings) {
    private val asks = LinkedHashMap<ClaimId, ClaimAttempt>()
    private val outcomes = LinkedHashMap<KeyHash, QueuedOutcome>()
    private val doubtful = HashSet<ClaimId>()
    private val written = HashSet<ClaimId>()
    private val forfeited = LinkedHashMap<ClaimId, ClaimAttempt>()
    private var answers = ArrayList<ClaimResult>()

    private class QueuedOutcome(val record: ClaimRecord, val at: Instant)

    val waiting: Int get() = asks.size
    val queuedOutcomes: Int get() = outcomes.size
    val doubts: Int get() = doubtful.size
    val nextDeadline: Instant? get() = asks.values.firstOrNull()?.let { deadline(it) }
    val outcomesDue: Instant?
        get() = outcomes.values.firstOrNull()?.let { it.at + settings.outcomeDelay }

    fun add(ask: ClaimAttempt) {
        if (asks.size < settings.maxPendingClaims) {
            asks[ask.id] = ask
        } else {
            giveUp(ask, "too many asks wait")
        }
    }

    fun cancel(id: ClaimId) {
        val ask = asks.remove(id) ?: return
        if (id in doubtful) forfeited[id] = ask
    }

    fun record(record: ClaimRecord, key: KeyHash, now: Instant) {
        outcomes[key] = QueuedOutcome(record, now)
    }

    fun takeResults(): List<ClaimResult> {
        val taken = answers
        answers = ArrayList()
        return taken
    }

    /** Answers each ask that the index or its deadline decides. */
    fun settle(index: ShardIndex, freshAt: Instant, now: Instant) {
        for (ask in asks.values.toList()) {
            val entry = index[ask.key]
            if (entry != null) {
                decide(ask, entry, freshAt, now)?.let { answer(ask, it) }
            } else if (now >= deadline(ask)) {
                giveUp(ask, "the store does not answer")
            }
        }
    }

    /** Whether an ask waits for a newer head: its key is claimed and the outcome may be in. */
    fun needsFreshHead(index: ShardIndex, freshAt: Instant): Boolean = asks.values.any { ask ->
        freshAt < ask.requestedAt && index[ask.key]?.let { it.outcome == null } == true
    }

    /** Whether a claim that is never sent may still get in. Any newer head settles that. */
    val hasForfeited: Boolean get() = forfeited.isNotEmpty()

    fun hasClaims(index: ShardIndex): Boolean = asks.values.any { index[it.key] == null }

    /** Records for the next write. Their claims are doubtful until it is resolved. */
    fun compose(index: ShardIndex): List<ClaimRecord> {
        val claims = asks.values
            .filter { index[it.key] == null }
            .distinctBy { it.key }
            .take(settings.maxBatchRecords)
        written.clear()
        claims.forEach { if (doubtful.add(it.id)) written.add(it.id) }
        val room = settings.maxBatchRecords - claims.size
        return claims.map { claimedRecord(it) } + outcomes.values.take(room).map { it.record }
    }

    /** The last write is provably out. Earlier writes without an answer stay doubtful. */
    fun lastWriteOut() {
        doubtful.removeAll(written)
        written.clear()
    }

    /** The head moved on, so each earlier write is either in the index or out for good. */
    fun resolve(index: ShardIndex, now: Instant) {
        forfeited.values.forEach { settleForfeited(it, index, now) }
        forfeited.clear()
        doubtful.clear()
        written.clear()
        outcomes.entries.removeIf { (key, queued) ->
            index[key]?.isOpen(ClaimId(queued.record.claimId)) != true
        }
    }

    private fun settleForfeited(ask: ClaimAttempt, index: ShardIndex, now: Instant) {
        val entry = index[ask.key]?.takeIf { it.isOpen(ask.id) } ?: return
        val sendBefore = entry.claimedAt + settings.sendTimeout
        val heir = asks.values.firstOrNull { it.key == ask.key && it.bodyHash == ask.bodyHash }
        if (heir != null && now <= sendBefore) {
            answer(heir, ClaimDecision.Send(SendPermit(ask.id, ask.key, sendBefore)))
        } else {
            record(notRunRecord(ask.key, ask.id), ask.key, now)
        }
    }

    private fun decide(
        ask: ClaimAttempt,
        entry: ClaimEntry,
        freshAt: Instant,
        now: Instant,
    ): ClaimDecision? {
        if (!entry.hasBody(ask.bodyHash)) return ClaimDecision.KeyReused
        if (entry.isOpen(ask.id)) return ClaimDecision.Send(permit(ask))
        outcomes[ask.key]?.let { return it.record.toDecision() }
        entry.outcome?.let { return it }
        if (freshAt < ask.requestedAt && now < deadline(ask)) return null
        val age = now - entry.claimedAt
        return if (age > settings.outcomeTimeout) {
            ClaimDecision.OutcomeUnknown
        } else {
            ClaimDecision.InProgress
        }
    }

    private fun permit(ask: ClaimAttempt) =
        SendPermit(ask.id, ask.key, ask.requestedAt + settings.sendTimeout)

    private fun giveUp(ask: ClaimAttempt, reason: String) {
        val decision = when {
            ask.id in doubtful -> ClaimDecision.Pending("the claim's write has no answer")
            ask.firstSend -> ClaimDecision.Unavailable(reason)
            else -> ClaimDecision.Pending("$reason and an earlier send may have claimed the key")
        }
        cancel(ask.id)
        answer(ask, decision)
    }

    private fun answer(ask: ClaimAttempt, decision: ClaimDecision) {
        asks.remove(ask.id)
        answers += ClaimResult(ask.id, decision)
    }

    private fun deadline(ask: ClaimAttempt): Instant = ask.requestedAt + settings.claimTimeout
}
