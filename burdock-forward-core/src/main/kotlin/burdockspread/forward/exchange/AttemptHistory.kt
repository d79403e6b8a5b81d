/** The attempts of one request so far, and whether another one is allowed. */
package burdockspread.forward.exchange

import burdockspread.forward.directory.TargetEntry
import burdockspread.forward.load.AttemptOutcome
import burdockspread.id.TargetId
import burdockspread.retry.RetryBudget
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

internal class AttemptHistory(private val call: Call, private val budget: RetryBudget) {
    private val kind = call.route.kind
    private var failedTargets: PersistentSet<TargetId> = persistentSetOf()

    /** Addresses to which the request was sent. */
    private var addresses: PersistentSet<String> = persistentSetOf()

    /** Attempts that reached the intended target; limited by the route's maximum attempts. */
    private var reached = 0

    /** Number of attempts. */
    var count = 0
        private set

    /** Number of attempts that may have executed the request. */
    var delivered = 0
        private set

    /** Retries that were taken from the budget and not yet used. */
    private var heldRetries = 0

    /** Target with a KV cache replica of an earlier attempt, until it has been tried. */
    var replica: TargetEntry? = null
        private set

    /** Targets that have failed the request. */
    val avoidedTargets: PersistentSet<TargetId> get() = failedTargets

    /**
     * Returns which connections may carry the next attempt, at [target]. The response to an earlier
     * attempt there has the same id and may arrive again on its connection.
     */
    fun connectionUse(target: TargetEntry): ConnectionUse = when {
        !call.isIdentified -> ConnectionUse.EXCLUSIVE
        target.address in addresses -> ConnectionUse.NEW
        else -> ConnectionUse.SHARED
    }

    /**
     * Records a send to [target]. Returns the target itself if it holds the replica of an earlier
     * attempt, from which the request then resumes.
     */
    fun onSent(target: TargetEntry): TargetEntry? {
        count++
        reached++
        delivered++
        if (heldRetries > 0) heldRetries--
        addresses = addresses.add(target.address)
        val source = replica?.takeIf { it.id == target.id }
        if (source != null) replica = null
        return source
    }

    fun onNotConnected() {
        reached--
        delivered--
    }

    /**
     * Records that a target has not executed the request; [counts]: whether it was an attempt all
     * the same.
     */
    fun onNotExecuted(counts: Boolean) {
        delivered--
        if (!counts) reached--
    }

    fun onFailed(attempt: Attempt, outcome: AttemptOutcome) {
        failedTargets = failedTargets.add(attempt.target.id)
        onSuperseded(attempt, outcome)
    }

    /** Records that another attempt has taken over from [attempt], which did not fail. */
    fun onSuperseded(attempt: Attempt, outcome: AttemptOutcome) {
        if (outcome.mayHaveRun && attempt.replicaTarget != null) replica = attempt.replicaTarget
    }

    /** Returns whether another attempt is allowed, and takes it from the retry budget. */
    fun mayRetry(outcome: AttemptOutcome, now: Instant): Boolean =
        hasAttemptsLeft(now) && (outcome == AttemptOutcome.UNREACHABLE || holdRetries(1))

    /** Returns whether the route and the remaining time allow another attempt. */
    fun hasAttemptsLeft(now: Instant): Boolean {
        if (!kind.isRepeatable && delivered > 0) return false
        if (reached >= call.route.maxAttempts || count >= MAX_SENDS) return false
        return call.deadline - now >= MIN_ATTEMPT_TIME
    }

    /**
     * Takes retries from the budget until [count] of them are held. Returns false, and holds no
     * more than before, if the budget has fewer.
     */
    fun holdRetries(count: Int): Boolean {
        val before = heldRetries
        while (heldRetries < count) {
            if (!budget.tryAcquire()) {
                releaseRetries(keep = before)
                return false
            }
            heldRetries++
        }
        return true
    }

    /** Returns the retries that are held beyond [keep] to the budget. */
    fun releaseRetries(keep: Int = 0) {
        while (heldRetries > keep) {
            budget.release()
            heldRetries--
        }
    }

    private companion object {
        /**
         * Maximum number of sends per request, including those that reached no target or were not
         * executed.
         */
        const val MAX_SENDS = 8
        val MIN_ATTEMPT_TIME = 50.milliseconds
    }
}
