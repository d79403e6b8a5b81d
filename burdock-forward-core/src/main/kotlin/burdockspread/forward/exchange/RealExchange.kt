/** The state machine of one request. */
package burdockspread.forward.exchange

import burdockspread.buffer.BufferBudget
import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.forward.directory.TargetEntry
import burdockspread.forward.load.AttemptOutcome
import burdockspread.forward.load.LoadPolicy
import burdockspread.forward.load.PlacementDecision
import burdockspread.forward.load.PlacementDecision.Placed
import burdockspread.forward.load.TargetNotice
import burdockspread.forward.quarantine.PromptQuarantine
import burdockspread.retry.RetryBudget
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

internal class RealExchange(
    override val call: Call,
    private val policy: LoadPolicy,
    private val budget: RetryBudget,
    private val listener: ExchangeListener,
    private val options: ExchangeOptions,
    quarantine: PromptQuarantine,
    buffers: BufferBudget,
) : Exchange {
    private val kind = call.route.kind
    private val emitter = ResponseEmitter(call, listener)
    private val assembly = ResponseAssembly(call, emitter, listener, options, buffers.open())
    private val history = AttemptHistory(call, budget)
    private val ending = FinalResponse(call, emitter, history)
    private val silence = SilencePolicy(call.route, options)
    private val placement = NextPlacement(call, policy, history, options)
    private val crashWatch = CrashWatch(call, quarantine, emitter)
    private val takeover = Takeover(call, placement, history, listener)

    /** The attempt in flight; a placement that is queued meanwhile is its takeover. */
    private var current: Attempt? = null

    /** Whether bytes of the target are read; not while the caller reads too slowly. */
    private var isReading = true

    override val isEnded: Boolean get() = emitter.isEnded

    override val wakeAt: Instant
        get() {
            val active = current
            if (active == null || placement.isQueued || !isReading) return call.deadline
            return minOf(call.deadline, silence.nextCheck(active))
        }

    override fun start(now: Instant): ImmutableList<ExchangeEffect> = step {
        if (now >= call.deadline) return@step ending.endAtDeadline(now)
        crashWatch.admit(now)?.let { return@step ending.end(it, now) }
        budget.onFirstAttempt()
        requestPlacement(now)
    }

    override fun onPlacement(
        decision: PlacementDecision,
        now: Instant,
    ): ImmutableList<ExchangeEffect> = step {
        if (!placement.isQueued) return@step
        placement.onDecided()
        val silent = current
        if (silent == null) {
            applyPlacement(decision, now)
        } else {
            takeover.onDecision(silent, decision, now)?.let { takeOver(silent, it, now) }
        }
    }

    override fun onResponseHead(
        attemptNumber: Int,
        head: ResponseHead,
        now: Instant,
    ): ImmutableList<ExchangeEffect> = ifCurrent(attemptNumber) { attempt ->
        attempt.lastReceivedAt = now
        if (!head.belongsTo(call)) {
            attempt.skipResponse(options)?.let { rejectResponse(attempt, it, now) }
            return@ifCurrent
        }
        attempt.onProgress(now)
        heed(head.notice, attempt.target, now)
        if (!head.notExecuted) history.releaseRetries()
        takeover.onReceived(attempt, now)
        policy.inFlight().onResponseHead(call.localId, head.load, now)
        attempt.onBegun(head, now)
        attempt.isStreaming = kind.isStream && head.isEventStream && head.isForwardable(call)
    }

    override fun onBody(
        attemptNumber: Int,
        bytes: ByteArray,
        now: Instant,
    ): ImmutableList<ExchangeEffect> = ifCurrent(attemptNumber) { attempt ->
        attempt.lastReceivedAt = now
        val exceeded = assembly.onBody(attempt, bytes, now)
        val head = attempt.head
        when {
            exceeded == null -> {
                crashWatch.onProgress(attempt, now)
                takeover.onReceived(attempt, now)
            }
            head != null && head.notExecuted -> {
                emitter.emit(ExchangeEffect.Cancel(attempt.number))
                retryNotExecuted(attempt, head, now)
            }
            else -> rejectResponse(attempt, exceeded, now)
        }
    }

    override fun onEnd(
        attemptNumber: Int,
        reusable: Boolean,
        now: Instant,
    ): ImmutableList<ExchangeEffect> = ifCurrent(attemptNumber) { attempt ->
        if (attempt.isForeign) {
            attempt.isForeign = false
            return@ifCurrent
        }
        val head = attempt.head ?: return@ifCurrent
        emitter.emit(
            ExchangeEffect.Release(attempt.number, reusable && !attempt.isConnectionTainted),
        )
        val phase = emitter.phase
        val shortfall = assembly.shortfall(attempt, head)
        if (shortfall != null) {
            failAttempt(attempt, AttemptOutcome.BROKEN, shortfall, now)
        } else if (phase is ForwardingPhase && (attempt.isStreaming || attempt.isRelaying)) {
            crashWatch.onComplete(attempt, head, now)
            endAttempt(attempt, head.outcome(), "status ${head.status}", now)
            phase.finish(head, attempt, now)
        } else {
            completeResponse(attempt, head, now)
        }
    }

    override fun onFailure(
        attemptNumber: Int,
        failure: AttemptFailure,
        now: Instant,
    ): ImmutableList<ExchangeEffect> = ifCurrent(attemptNumber) { attempt ->
        if (failure == AttemptFailure.NOT_CONNECTED) history.onNotConnected()
        if (failure == AttemptFailure.MALFORMED) {
            rejectResponse(attempt, "not HTTP", now)
        } else {
            failAttempt(attempt, failure.outcome, failure.name.lowercase(), now)
        }
    }

    override fun onProbe(
        attemptNumber: Int,
        alive: Boolean,
        now: Instant,
    ): ImmutableList<ExchangeEffect> = ifCurrent(attemptNumber) { attempt ->
        val isHeard = attempt.lastReceivedAt > attempt.lastProbedAt
        if (alive || isHeard || !isReading) return@ifCurrent
        applySilence(attempt, silence.concludeFromProbe(attempt), now)
    }

    override fun onCrashConfirmation(attemptNumber: Int, hasStopped: Boolean, now: Instant): Unit =
        crashWatch.onConfirmation(attemptNumber, hasStopped, now)

    override fun onQuarantine(now: Instant): ImmutableList<ExchangeEffect> = step {
        if (current?.begunAt != null) return@step
        val refusal = crashWatch.refusal(now) ?: return@step
        cancelAttempt(now)
        ending.end(refusal, now)
    }

    override fun onCallerGone(now: Instant): ImmutableList<ExchangeEffect> = step {
        cancelAttempt(now)
        emitter.onCallerGone(history.count, now)
    }

    override fun onReading(isReading: Boolean, now: Instant): ImmutableList<ExchangeEffect> = step {
        this.isReading = isReading
        current?.let {
            it.onProgress(now)
            takeover.onReceived(it, now)
        }
    }

    override fun onTimer(now: Instant, timerDelay: Duration): ImmutableList<ExchangeEffect> = step {
        val attempt = current
        when {
            now >= call.deadline -> {
                cancelAttempt(now)
                ending.endAtDeadline(now)
            }
            attempt == null || !isReading -> Unit
            timerDelay > MAX_TIMER_DELAY -> attempt.onProgress(now - timerDelay)
            placement.isQueued -> Unit
            now >= silence.nextCheck(attempt) ->
                applySilence(attempt, silence.conclude(attempt, now), now)
        }
    }

    override fun onStop(now: Instant, waitingOnly: Boolean): ImmutableList<ExchangeEffect> = step {
        if (waitingOnly && (!placement.isQueued || history.delivered > 0)) return@step
        cancelAttempt(now)
        ending.end(SHUTDOWN, now)
    }

    /** Submits the request to the load policy, for the first attempt or a retry. */
    private fun requestPlacement(now: Instant): Unit = applyPlacement(placement.request(now), now)

    private fun applyPlacement(decision: PlacementDecision, now: Instant) {
        when (decision) {
            is Placed -> {
                val refusal = crashWatch.refusal(now) ?: return send(decision, now)
                policy.inFlight().onEnded(call.localId, AttemptOutcome.CANCELLED, now)
                ending.end(refusal, now)
            }
            is PlacementDecision.Waiting -> listener.onWaiting(call, now)
            is PlacementDecision.Refused -> ending.end(decision.refusal, now)
        }
    }

    private fun send(placed: Placed, now: Instant, isSuccessor: Boolean = false) {
        val connection = history.connectionUse(placed.target)
        val fromReplica = history.onSent(placed.target)
        val target = placed.target
        val attempt = Attempt(history.count, target, placed.replicaTarget, now, isSuccessor)
        current = attempt
        val send = ExchangeEffect.Send(
            attemptNumber = attempt.number,
            target = placed.target,
            remaining = call.deadline - now,
            resumeAfterEventId = emitter.lastEventId,
            replicaAddress = fromReplica?.address,
            replicaTarget = placed.replicaTarget,
            connection = connection,
        )
        listener.onSent(call, send, now)
        emitter.emit(send)
    }

    private fun applySilence(attempt: Attempt, conclusion: SilenceConclusion, now: Instant) {
        when (conclusion) {
            SilenceConclusion.PROBE -> {
                attempt.lastProbedAt = now
                emitter.emit(ExchangeEffect.Probe(attempt.number, attempt.target))
            }
            SilenceConclusion.TAKE_OVER ->
                takeover.request(attempt, silence.outcome, now)?.let { takeOver(attempt, it, now) }
            SilenceConclusion.TOLERATE ->
                takeover.tolerate(attempt, "the response cannot be repeated", now)
        }
    }

    /** Cancels the silent [attempt] and sends the request to its successor, in one step. */
    private fun takeOver(attempt: Attempt, successor: Placed, now: Instant) {
        emitter.emit(ExchangeEffect.Cancel(attempt.number))
        reportEnd(attempt, silence.outcome, "silent for ${attempt.silence(now)}", now)
        history.onSuperseded(attempt, silence.outcome)
        assembly.restart()
        send(successor, now, isSuccessor = true)
    }

    /** Closes the connection of a target whose bytes are no response or exceed a [limit]. */
    private fun rejectResponse(attempt: Attempt, limit: String, now: Instant) {
        emitter.emit(ExchangeEffect.Cancel(attempt.number))
        failAttempt(attempt, AttemptOutcome.MALFORMED, "malformed or too long: $limit", now)
    }

    /** Decides how to handle a complete response that was buffered. */
    private fun completeResponse(attempt: Attempt, head: ResponseHead, now: Instant) {
        val response = BufferedResponse(head, attempt.buffer.toByteArray(), attempt.target)
        when {
            head.notExecuted -> retryNotExecuted(attempt, head, now)
            !head.isValidFor(call) -> failAttempt(
                attempt,
                AttemptOutcome.FAILED,
                "invalid response signature or id",
                now,
            )
            head.isFailure && kind.isRepeatable -> {
                ending.lastErrorResponse = response
                failAttempt(attempt, AttemptOutcome.FAILED, "status ${head.status}", now)
            }
            !head.isForwardable(call) -> failAttempt(
                attempt,
                AttemptOutcome.FAILED,
                "status ${head.status} from a target that may have run the request",
                now,
            )
            else -> respond(attempt, response, now)
        }
    }

    /** Ends an attempt whose target states that it did not execute the request. */
    private fun retryNotExecuted(attempt: Attempt, head: ResponseHead, now: Instant) {
        history.onNotExecuted(counts = !head.isMisdirected && !attempt.isSuccessor)
        val outcome =
            if (head.isMisdirected) AttemptOutcome.REPLACED else AttemptOutcome.SHED
        failAttempt(attempt, outcome, "not executed, status ${head.status}", now)
    }

    /** Sends a complete response of a target, which cannot be a part of a stream that has begun. */
    private fun respond(attempt: Attempt, response: BufferedResponse, now: Instant) {
        val status = "status ${response.head.status}"
        val phase = emitter.phase
        if (phase is ResponseEmitter.NotBegun) {
            crashWatch.onComplete(attempt, response.head, now)
            endAttempt(attempt, response.head.outcome(), status, now)
            phase.respond(response, history.count, now)
        } else {
            failAttempt(attempt, AttemptOutcome.FAILED, "$status does not continue the stream", now)
        }
    }

    /** Ends an attempt that got no usable response, and retries if that is allowed. */
    private fun failAttempt(
        attempt: Attempt,
        outcome: AttemptOutcome,
        detail: String,
        now: Instant,
    ) {
        val mayBeCrash = outcome == AttemptOutcome.BROKEN && crashWatch.onBroken(attempt, now)
        val hasBegun = attempt.begunAt != null
        val concluded = if (mayBeCrash && hasBegun) AttemptOutcome.CRASHED else outcome
        endAttempt(attempt, concluded, detail, now)
        history.onFailed(attempt, concluded)
        assembly.restart()
        val phase = emitter.phase
        if (phase is ResponseEmitter.Relaying) {
            return phase.abort("truncated response: $detail", history.count, now)
        }
        crashWatch.refusal(now)?.let { return ending.end(it, now) }
        val mayRetry = !(mayBeCrash && crashWatch.isConspicuous(now))
        if (mayRetry && history.mayRetry(concluded, now)) return requestPlacement(now)
        ending.end(exhausted(kind, history.delivered, concluded, detail), now)
    }

    private fun heed(notice: TargetNotice, target: TargetEntry, now: Instant) {
        if (notice == TargetNotice.NONE) return
        policy.onNotice(target, notice, now)
        listener.onNotice(call, target, notice, now)
    }

    private fun cancelAttempt(now: Instant) {
        val attempt = current
        if (attempt == null) {
            placement.withdraw()
            return
        }
        emitter.emit(ExchangeEffect.Cancel(attempt.number))
        endAttempt(attempt, AttemptOutcome.CANCELLED, "cancelled", now)
    }

    private fun endAttempt(
        attempt: Attempt,
        outcome: AttemptOutcome,
        detail: String,
        now: Instant,
    ) {
        takeover.withdraw(attempt, "the attempt ended", now)
        current = null
        policy.inFlight().onEnded(call.localId, outcome, now)
        reportEnd(attempt, outcome, detail, now)
    }

    private fun reportEnd(
        attempt: Attempt,
        outcome: AttemptOutcome,
        detail: String,
        now: Instant,
    ): Unit = listener.onAttemptEnded(
        call,
        attempt.number,
        attempt.target,
        outcome,
        detail,
        attempt.progress(now),
        now,
    )

    private inline fun step(block: () -> Unit): ImmutableList<ExchangeEffect> {
        if (isEnded) return persistentListOf()
        block()
        if (isEnded) {
            history.releaseRetries()
            assembly.release()
        }
        return emitter.takeEffects()
    }

    private inline fun ifCurrent(
        attemptNumber: Int,
        block: (Attempt) -> Unit,
    ): ImmutableList<ExchangeEffect> = step {
        val attempt = current
        if (attempt != null && attempt.number == attemptNumber) block(attempt)
    }

    private companion object {
        /** A longer timer delay is a pause of this host and says nothing about the target. */
        val MAX_TIMER_DELAY = 60.milliseconds
        val SHUTDOWN =
            Refusal(ErrorCode.DRAINING, "the host is shutting down", 20.milliseconds)
    }
}
