/** State machine of one generation. */
package burdockspread.generation

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.generation.GenerationEffect.Accepted
import burdockspread.generation.GenerationEffect.CancelAttempt
import burdockspread.generation.GenerationEffect.Complete
import burdockspread.generation.GenerationEffect.Fail
import burdockspread.generation.GenerationEffect.OpenAttempt
import burdockspread.id.AttemptNumber
import burdockspread.id.TargetId
import burdockspread.recovery.RecoveryMode
import kotlinx.collections.immutable.ImmutableList
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

internal class RealGeneration(
    private val spec: GenerationSpec,
    private val budget: AttemptBudget,
    private val times: TokenLatencyTracker,
    override val tokens: TokenLog,
    private val listener: GenerationListener,
) : Generation {
    override var isClosed: Boolean = false
        private set

    private val limits = StallLimits(spec, times)
    private val activeAttempts = ArrayList<Attempt>()
    private val avoided = AvoidedTargets()
    private val backoff = Backoff()
    private val effects = ArrayList<GenerationEffect>()
    private var lastAttemptNumber = 0
    private var extraAttempts = 0
    private var mayHaveRun = tokens.size > 0
    private var lastAccepted: Instant = Instant.DISTANT_PAST
    private var retryAt: Instant? = null
    private var lastCause = FailureCause.CONNECTION_LOST

    override fun handle(input: GenerationInput, now: Instant): List<GenerationEffect> {
        if (isClosed) {
            if (input is GenerationInput.Tokens) reportDropped(input, DropReason.LATE)
            return emptyList()
        }
        when (input) {
            is GenerationInput.Start -> start(now)
            is GenerationInput.Opened -> findActive(input.attempt)?.target = input.target
            is GenerationInput.Tokens -> onTokens(input, now)
            is GenerationInput.Finished -> onFinished(input, now)
            is GenerationInput.Failed -> findActive(input.attempt)?.let {
                onFailed(it, input.cause, now)
            }
            is GenerationInput.Tick -> onTick(now)
            is GenerationInput.TargetDraining -> migrateFrom(input.target, now)
            is GenerationInput.Cancel -> close()
        }
        return effects.toList().also { effects.clear() }
    }

    override fun nextDeadline(): Instant? {
        if (isClosed) return null
        return (activeAttempts.map { limits.deadline(it) } + listOfNotNull(retryAt))
            .minOrNull()
    }

    private fun start(now: Instant) {
        if (lastAttemptNumber > 0) return
        lastAccepted = now
        open(now)
    }

    private fun onTokens(input: GenerationInput.Tokens, now: Instant) {
        val attempt = findActive(input.attempt) ?: return reportDropped(input, DropReason.LATE)
        mayHaveRun = true
        val next = tokens.size
        if (input.offset > next) {
            reportDropped(input, DropReason.GAP)
            return onFailed(attempt, FailureCause.GAP, now)
        }
        val newTokens = takeNewTokens(input, next)
        if (newTokens.isEmpty()) return
        cancelOthers(attempt)
        tokens.append(newTokens)
        effects += Accepted(next, newTokens)
        onProgress(attempt, newTokens.size, now)
    }

    /**
     * Returns the tokens from offset [next] on, up to the maximum length; reports the others as
     * dropped.
     */
    private fun takeNewTokens(input: GenerationInput.Tokens, next: Int): ImmutableList<String> {
        val all = input.tokens
        val remaining = spec.maxTokens - next
        if (input.offset == next && all.size <= remaining) return all
        val duplicates = (next - input.offset).coerceAtMost(all.size)
        val end = (duplicates + remaining).coerceAtMost(all.size)
        notifyDropped(input.attempt, DropReason.DUPLICATE, duplicates)
        notifyDropped(input.attempt, DropReason.EXCESS, all.size - end)
        return all.subList(duplicates, end)
    }

    private fun onProgress(attempt: Attempt, count: Int, now: Instant) {
        val isFirst = attempt.received == 0
        val interval = attempt.progress(count, now)
        lastAccepted = now
        backoff.reset()
        val target = attempt.target ?: return
        if (isFirst) {
            times.recordTimeToFirstToken(target, spec.model, interval * count)
            return
        }
        times.recordInterTokenLatency(target, spec.model, interval)
        if (limits.isTooSlow(attempt)) onSlowAttempt(attempt, now)
    }

    private fun onFinished(input: GenerationInput.Finished, now: Instant) {
        val attempt = findActive(input.attempt) ?: return
        mayHaveRun = true
        val reason = input.reason
        val isShort = reason == FinishReason.LENGTH && tokens.size < spec.maxTokens
        if (reason == null || isShort || input.totalTokens != tokens.size) {
            return onFailed(attempt, FailureCause.ENDED_SHORT, now)
        }
        cancelOthers(attempt)
        activeAttempts.clear()
        complete(reason)
    }

    private fun onFailed(attempt: Attempt, cause: FailureCause, now: Instant) {
        activeAttempts.remove(attempt)
        if (cause == FailureCause.GAP) effects += CancelAttempt(attempt.number)
        if (!cause.provesNotRun) mayHaveRun = true
        avoided.add(attempt.target)
        lastCause = cause
        if (activeAttempts.isNotEmpty()) return
        when {
            tokens.size >= spec.maxTokens -> complete(FinishReason.LENGTH)
            cause == FailureCause.REJECTED -> fail(ErrorCode.ENGINE_REJECTED)
            cause.requiresBackoff -> scheduleRetry(now)
            else -> retryOrFail(now)
        }
    }

    private fun onTick(now: Instant) {
        val due = nextDeadline() ?: return
        if (now - due > PROCESS_PAUSE_THRESHOLD) return resetTimers(now)
        if (retryAt?.let { now >= it } == true) {
            retryAt = null
            if (activeAttempts.isEmpty()) retryOrFail(now)
        }
        activeAttempts.filter { now >= limits.deadline(it) }.forEach { onStalled(it, now) }
    }

    /** After a pause of this process, its timers say nothing about the targets. */
    private fun resetTimers(now: Instant) {
        activeAttempts.forEach { it.resetTimers(now) }
        retryAt = retryAt?.let { now }
        lastAccepted = now
    }

    private fun onStalled(attempt: Attempt, now: Instant) {
        if (isClosed || attempt !in activeAttempts) return
        listener.onAttemptStalled(attempt.number, attempt.target)
        mayHaveRun = true
        if (tokens.size >= spec.maxTokens) return complete(FinishReason.LENGTH)
        if (tryAcquireAttempt()) return replaceStalled(attempt, now)
        if (now - lastAccepted > limits.giveUpTimeout) return fail(ErrorCode.ATTEMPTS_EXHAUSTED)
        attempt.recheckAt = now + backoff.next()
    }

    /**
     * A slow attempt would still deliver before an attempt beside it and win, so it is cancelled in
     * every mode.
     */
    private fun onSlowAttempt(attempt: Attempt, now: Instant) {
        listener.onAttemptStalled(attempt.number, attempt.target)
        attempt.resetWindow()
        if (tokens.size >= spec.maxTokens || !tryAcquireAttempt()) return
        cancelAndReopen(now, attempt)
    }

    private fun replaceStalled(attempt: Attempt, now: Instant) {
        val keepsStalled =
            spec.policy.mode == RecoveryMode.SIDE_BY_SIDE && activeAttempts.size < MAX_ACTIVE
        if (!keepsStalled) return cancelAndReopen(now, attempt)
        avoided.add(attempt.target)
        attempt.recheckAt = now + spec.policy.maxStall
        open(now)
    }

    private fun cancelAndReopen(now: Instant, attempt: Attempt) {
        avoided.add(attempt.target)
        activeAttempts.remove(attempt)
        effects += CancelAttempt(attempt.number)
        open(now)
    }

    private fun migrateFrom(target: TargetId, now: Instant) {
        val attempt = activeAttempts.firstOrNull { it.target == target } ?: return
        mayHaveRun = true
        avoided.add(target)
        activeAttempts.remove(attempt)
        effects += CancelAttempt(attempt.number)
        if (activeAttempts.isEmpty()) open(now)
    }

    /** Opens another attempt after the last one failed, or fails the generation. */
    private fun retryOrFail(now: Instant) {
        val isExhausted = extraAttempts + 1 >= spec.policy.maxAttempts
        when {
            tryAcquireAttempt() -> open(now)
            !mayHaveRun && lastCause == FailureCause.NO_TARGET -> fail(ErrorCode.NO_TARGET)
            !mayHaveRun -> fail(ErrorCode.RETRY_BUDGET_SPENT)
            isExhausted || now - lastAccepted > limits.giveUpTimeout ->
                fail(ErrorCode.ATTEMPTS_EXHAUSTED)
            else -> scheduleRetry(now)
        }
    }

    private fun scheduleRetry(now: Instant) {
        retryAt = now + backoff.next()
    }

    private fun tryAcquireAttempt(): Boolean {
        if (extraAttempts + 1 >= spec.policy.maxAttempts) return false
        if (!budget.tryAcquire()) {
            listener.onBudgetExhausted()
            return false
        }
        extraAttempts++
        return true
    }

    private fun open(now: Instant) {
        val attempt = Attempt(AttemptNumber(++lastAttemptNumber), now)
        activeAttempts += attempt
        effects += OpenAttempt(
            attempt = attempt.number,
            prefix = tokens.slice(0),
            maxTokens = spec.maxTokens - tokens.size,
            excludedTargets = avoided.snapshot(),
            preferCachedPrefix = spec.policy.mode == RecoveryMode.SAVE_RESOURCES,
        )
    }

    /** The [winner] delivered first: the other attempts must not add tokens to its continuation. */
    private fun cancelOthers(winner: Attempt) {
        if (activeAttempts.size == 1) return
        activeAttempts.filter { it !== winner }.forEach { effects += CancelAttempt(it.number) }
        activeAttempts.retainAll { it === winner }
    }

    private fun complete(reason: FinishReason) {
        close()
        effects += Complete(reason, tokens.size)
    }

    private fun fail(code: ErrorCode) {
        close()
        val detail = "${tokens.size} tokens after $lastAttemptNumber attempts"
        effects += Fail(Refusal(code, detail, RETRY_AFTER.takeIf { code.retryable }))
    }

    private fun close() {
        isClosed = true
        activeAttempts.forEach { effects += CancelAttempt(it.number) }
        activeAttempts.clear()
        retryAt = null
    }

    private fun findActive(number: AttemptNumber): Attempt? =
        activeAttempts.firstOrNull { it.number == number }

    private fun reportDropped(input: GenerationInput.Tokens, reason: DropReason) =
        notifyDropped(input.attempt, reason, input.tokens.size)

    private fun notifyDropped(attempt: AttemptNumber, reason: DropReason, tokens: Int) {
        if (tokens > 0) listener.onTokensDropped(attempt, reason, tokens)
    }

    private companion object {
        const val MAX_ACTIVE = 2
        val RETRY_AFTER = 1.seconds

        /** Delay of a tick above which the process itself is taken to have been paused. */
        val PROCESS_PAUSE_THRESHOLD = 2.seconds
    }
}
