/** What the attempts of one request say about its prompt, and what the quarantine says about it. */
package burdockspread.forward.exchange

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.forward.quarantine.CrashRecord
import burdockspread.forward.quarantine.CrashWindow
import burdockspread.forward.quarantine.PromptQuarantine
import burdockspread.forward.quarantine.Verdict
import kotlinx.collections.immutable.persistentSetOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Reports responses that go on, and targets that stopped as soon as they began to respond. A
 * connection also breaks for other reasons, so a target is asked first whether it still runs. A
 * request on which several targets have stopped is not sent to another one.
 */
internal class CrashWatch(
    private val call: Call,
    private val quarantine: PromptQuarantine,
    private val emitter: ResponseEmitter,
) {
    private val parts = call.prompt?.sharedParts ?: persistentSetOf()
    private val unconfirmed = HashMap<Int, CrashRecord>()

    /** Targets that stopped before this request was answered. */
    private val crashes = ArrayList<CrashRecord>()

    /** Returns why the request must not be sent at all, or null. */
    fun admit(now: Instant): Refusal? = quarantine.admit(parts, now)?.refusal(now)

    /** Returns why the request must not be sent to another target, or null. */
    fun refusal(now: Instant): Refusal? = quarantine.checkAdmitted(parts, now)?.refusal(now)

    /** Acquits the prompt if the response of [attempt] has gone on for long enough. */
    fun onProgress(attempt: Attempt, now: Instant) {
        val begunAt = attempt.begunAt ?: return
        if (attempt.hasGoneOn || !CrashWindow.acquits(begunAt, attempt.eventCount, now)) return
        attempt.hasGoneOn = true
        quarantine.onWentOn(parts, now)
    }

    /** Acquits the prompt since the response of [attempt] with [head] is complete. */
    fun onComplete(attempt: Attempt, head: ResponseHead, now: Instant) {
        // The end of a connection is also how a target stops.
        if (attempt.hasGoneOn || !head.isSuccess || head.endsWithConnection) return
        attempt.hasGoneOn = true
        quarantine.onWentOn(parts, now)
    }

    /**
     * Handles the broken connection of [attempt]. Returns whether its prompt may be the cause; then
     * the target is asked whether it still runs, unless that is known.
     */
    fun onBroken(attempt: Attempt, now: Instant): Boolean {
        val begunAt = attempt.begunAt
        if (call.prompt == null) return false
        if (!CrashWindow.accuses(begunAt, attempt.eventCount, now)) return false
        val target = attempt.target
        val exposedAt = begunAt ?: attempt.sentAt
        val crash = CrashRecord(
            call.id.take(MAX_ID_CHARS),
            parts,
            target.id,
            target.startedAtMillis,
            begunAt != null,
            exposedAt,
            now,
        )
        if (quarantine.hasStopped(target.id, target.startedAtMillis)) {
            crashes += crash
            quarantine.onCrash(crash, now)
        } else {
            unconfirmed[attempt.number] = crash
            emitter.emit(ExchangeEffect.ConfirmCrash(attempt.number, target))
        }
        return true
    }

    /** Handles what is known of the target of [attemptNumber] after its connection broke. */
    fun onConfirmation(attemptNumber: Int, hasStopped: Boolean, now: Instant) {
        val crash = unconfirmed.remove(attemptNumber) ?: return
        if (!hasStopped) return
        crashes += crash
        quarantine.onCrash(crash, now)
    }

    /**
     * Returns whether another target would probably stop too. An attempt that has just broken
     * counts although its target has not been asked yet, and is enough if the request is a trial.
     */
    fun isConspicuous(now: Instant): Boolean =
        CrashWindow.isConspicuous(crashes + unconfirmed.values) ||
            quarantine.check(parts, now) != null

    private fun Verdict.refusal(now: Instant) = Refusal(
        ErrorCode.PROMPT_QUARANTINED,
        "targets crash on a part of the prompt, verdict $id",
        (until - now).coerceAtLeast(MIN_RETRY_AFTER),
    )

    private companion object {
        /** While a trial is due or in progress, which takes as long as a request. */
        val MIN_RETRY_AFTER: Duration = 10.seconds

        /** Longer ids are cut, since evidence is kept and sent to other hosts. */
        const val MAX_ID_CHARS = 64
    }
}
