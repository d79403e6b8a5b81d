/** The state machine of one generation. */
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
    private val live = ArrayList<Attempt>()
    private val avoided = AvoidedTargets()
    private val backoff = Backoff()
    private val effects = ArrayList<GenerationEffect>()
    private var lastNumber = 0
    private var extraAttempts = 0
    private var mayHaveRun = tokens.size > 0
    private var lastAccepted: Instant = Instant.DISTANT_PAST
    private var reopenAt: Instant? = null
    private var lastCause = FailureCause.CONNECTION_LOST

    override fun handle(input: GenerationInput, now: Instant): List<GenerationEffect> {
        if (isClosed) {
            if (input is GenerationInput.Tokens) drop(input, DropReason.LATE)
            return emptyList()
        }
        when (input) {
            is GenerationInput.Start -> start(now)
            is GenerationInput.Opened -> current(input.attempt)?.target = input.target
            is GenerationInput.Tokens -> accept(input, now)
            is GenerationInput.Finished -> finished(input, now)
            is GenerationInput.Failed -> current(input.attempt)?.let {
                failed(it, input.cause, now)
            }
            is GenerationInput.Tick -> tick(now)
            is GenerationInput.TargetDraining -> move(input.target, now)
            is GenerationInput.Cancel -> close()
        }
        return effects.toList().also { effects.clear() }
    }

    override fun nextDeadline(): Instant? {
        if (isClosed) return null
        return (live.map { limits.deadline(it) } + listOfNotNull(reopenAt)).minOrNull()
    }

    private fun start(now: Instant) {
        if (lastNumber > 0) return
        lastAccepted = now
        open(now)
    }

    private fun accept(input: GenerationInput.Tokens, now: Instant) {
        val attempt = current(input.attempt) ?: return drop(input, DropReason.LATE)
        mayHaveRun = true
        val next = tokens.size
        if (input.offset > next) {
            drop(input, DropReason.GAP)
            return failed(attempt, FailureCause.GAP, now)
        }
        val fresh = unseen(input, next)
        if (fresh.isEmpty()) return
        keepOnly(attempt)
        tokens.append(fresh)
        effects += Accepted(next, fresh)
        progressed(attempt, fresh.size, now)
    }

    /** The part of the tokens that fills offset [next] and later ones, up to the largest. */
    private fun unseen(input: GenerationInput.Tokens, next: Int): ImmutableList<String> {
        val all = input.tokens
        val room = spec.maxTokens - next
        if (input.offset == next && all.size <= room) return all
        val known = (next - input.offset).coerceAtMost(all.size)
        val end = (known + room).coerceAtMost(all.size)
        count(input.attempt, DropReason.DUPLICATE, known)
        count(input.attempt, DropReason.EXCESS, all.size - end)
        return all.subList(known, end)
    }

    private fun progressed(attempt: Attempt, count: Int, now: Instant) {
        val first = attempt.received == 0
        val each = attempt.progress(count, now)
        lastAccepted = now
        backoff.reset()
        val target = attempt.target ?: return
        if (first) {
            times.recordTimeToFirstToken(target, spec.model, each * count)
            return
        }
        times.recordInterTokenLatency(target, spec.model, each)
        if (limits.crawls(attempt)) crawling(attempt, now)
    }

    private fun finished(input: GenerationInput.Finished, now: Instant) {
        val attempt = current(input.attempt) ?: return
        mayHaveRun = true
        val reason = input.reason
        val short = reason == FinishReason.LENGTH && tokens.size < spec.maxTokens
        if (reason == null || short || input.totalTokens != tokens.size) {
            return failed(attempt, FailureCause.ENDED_SHORT, now)
        }
        keepOnly(attempt)
        live.clear()
        complete(reason)
    }

    private fun failed(attempt: Attempt, cause: FailureCause, now: Instant) {
        live.remove(attempt)
        if (cause == FailureCause.GAP) effects += CancelAttempt(attempt.number)
        if (!cause.provesNotRun) mayHaveRun = true
        avoided.add(attempt.target)
        lastCause = cause
        if (live.isNotEmpty()) return
        when {
            tokens.size >= spec.maxTokens -> complete(FinishReason.LENGTH)
            cause == FailureCause.REJECTED -> fail(ErrorCode.ENGINE_REJECTED)
            cause.requiresBackoff -> waitBeforeReopening(now)
            else -> reopen(now)
        }
    }

    private fun tick(now: Instant) {
        val due = nextDeadline() ?: return
        if (now - due > PROCESS_PAUSE) return forgive(now)
        if (reopenAt?.let { now >= it } == true) {
            reopenAt = null
            if (live.isEmpty()) reopen(now)
        }
        live.filter { now >= limits.deadline(it) }.forEach { stalled(it, now) }
    }

    /** After a pause of this process its clocks say nothing about the targets. */
    private fun forgive(now: Instant) {
        live.forEach { it.forgive(now) }
        reopenAt = reopenAt?.let { now }
        lastAccepted = now
    }

    private fun stalled(attempt: Attempt, now: Instant) {
        if (isClosed || attempt !in live) return
        listener.onAttemptStalled(attempt.number, attempt.target)
        mayHaveRun = true
        if (tokens.size >= spec.maxTokens) return complete(FinishReason.LENGTH)
        if (mayTryAgain()) return replace(attempt, now)
        if (now - lastAccepted > limits.patience) return fail(ErrorCode.ATTEMPTS_EXHAUSTED)
        attempt.checkAgainAt = now + backoff.next()
    }

    /** A slow attempt would deliver before one beside it, so it is cancelled in every mode. */
    private fun crawling(attempt: Attempt, now: Instant) {
        listener.onAttemptStalled(attempt.number, attempt.target)
        attempt.restartWindow()
        if (tokens.size >= spec.maxTokens || !mayTryAgain()) return
        replaceBy(now, attempt)
    }

    private fun replace(attempt: Attempt, now: Instant) {
        val beside = spec.policy.mode == RecoveryMode.SIDE_BY_SIDE && live.size < MAX_LIVE
        if (!beside) return replaceBy(now, attempt)
        avoided.add(attempt.target)
        attempt.checkAgainAt = now + spec.policy.maxStall
        open(now)
    }

    private fun replaceBy(now: Instant, attempt: Attempt) {
        avoided.add(attempt.target)
        live.remove(attempt)
        effects += CancelAttempt(attempt.number)
        open(now)
    }

    private fun move(target: TargetId, now: Instant) {
        val attempt = live.firstOrNull { it.target == target } ?: return
        mayHaveRun = true
        avoided.add(target)
        live.remove(attempt)
        effects += CancelAttempt(attempt.number)
        if (live.isEmpty()) open(now)
    }

    /** Opens another attempt after the last one failed, or fails the generation. */
    private fun reopen(now: Instant) {
        val exhausted = extraAttempts + 1 >= spec.policy.maxAttempts
        when {
            mayTryAgain() -> open(now)
            !mayHaveRun && lastCause == FailureCause.NO_TARGET -> fail(ErrorCode.NO_TARGET)
            !mayHaveRun -> fail(ErrorCode.RETRY_BUDGET_SPENT)
            exhausted || now - lastAccepted > limits.patience -> fail(ErrorCode.ATTEMPTS_EXHAUSTED)
            else -> waitBeforeReopening(now)
        }
    }

    private fun waitBeforeReopening(now: Instant) {
        reopenAt = now + backoff.next()
    }

    private fun mayTryAgain(): Boolean {
        if (extraAttempts + 1 >= spec.policy.maxAttempts) return false
        if (!budget.tryAcquire()) {
            listener.onBudgetExhausted()
            return false
        }
        extraAttempts++
        return true
    }

    private fun open(now: Instant) {
        val attempt = Attempt(AttemptNumber(++lastNumber), now)
        live += attempt
        effects += OpenAttempt(
            attempt = attempt.number,
            prefix = tokens.slice(0),
            maxTokens = spec.maxTokens - tokens.size,
            avoid = avoided.snapshot(),
            preferCachedPrefix = spec.policy.mode == RecoveryMode.SAVE_RESOURCES,
        )
    }

    /** The [winner] delivered first: the others may not add tokens to its continuation. */
    private fun keepOnly(winner: Attempt) {
        if (live.size == 1) return
        live.filter { it !== winner }.forEach { effects += CancelAttempt(it.number) }
        live.retainAll { it === winner }
    }

    private fun complete(reason: FinishReason) {
        close()
        effects += Complete(reason, tokens.size)
    }

    private fun fail(code: ErrorCode) {
        close()
        val detail = "${tokens.size} tokens after $lastNumber attempts"
        effects += Fail(Refusal(code, detail, RETRY_AFTER.takeIf { code.retryable }))
    }

    private fun close() {
        isClosed = true
        live.forEach { effects += CancelAttempt(it.number) }
        live.clear()
        reopenAt = null
    }

    private fun current(number: AttemptNumber): Attempt? = live.firstOrNull { it.number == number }

    private fun drop(input: GenerationInput.Tokens, reason: DropReason) =
        count(input.attempt, reason, input.tokens.size)

    private fun count(attempt: AttemptNumber, reason: DropReason, tokens: Int) {
        if (tokens > 0) listener.onTokensDropped(attempt, reason, tokens)
    }

    private companion object {
        const val MAX_LIVE = 2
        val RETRY_AFTER = 1.seconds

        /** Lateness of a tick from which the process itself was paused. */
        val PROCESS_PAUSE = 2.seconds
    }
}
