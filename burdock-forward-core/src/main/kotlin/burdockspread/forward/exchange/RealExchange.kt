/** The state machine of one request. */
package burdockspread.forward.exchange

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.forward.catalog.CallKind
import burdockspread.forward.load.AttemptOutcome
import burdockspread.forward.load.LoadPolicy
import burdockspread.forward.load.PlacementDecision
import burdockspread.forward.load.PlacementRequest
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
) : Exchange {
    private val kind = call.route.kind
    private val emitter = ResponseEmitter(call, listener)
    private val history = AttemptHistory(call, budget)
    private var current: Attempt? = null
    private var waiting = false

    private var lastEventAt = call.receivedAt

    /** Error response of a target, forwarded if no later attempt succeeds. */
    private var lastErrorResponse: BufferedResponse? = null

    override val isEnded: Boolean get() = emitter.isEnded

    override val wakeAt: Instant
        get() {
            val active = current ?: return call.deadline
            return minOf(call.deadline, active.nextSilenceCheck(call.route, options))
        }

    override fun start(now: Instant): ImmutableList<ExchangeEffect> = step {
        budget.onFirstAttempt()
        requestPlacement(now)
    }

    override fun onPlacement(
        decision: PlacementDecision,
        now: Instant,
    ): ImmutableList<ExchangeEffect> = step {
        if (!waiting) return@step
        waiting = false
        applyPlacement(decision, now)
    }

    override fun onResponseHead(
        attemptNumber: Int,
        head: ResponseHead,
        now: Instant,
    ): ImmutableList<ExchangeEffect> = ifCurrent(attemptNumber) { attempt ->
        attempt.lastReceivedAt = now
        if (head.requestId != null && head.requestId != call.id) {
            attempt.skipResponse(options)?.let { rejectResponse(attempt, it, now) }
            return@ifCurrent
        }
        attempt.onProgress(now)
        policy.inFlight().onResponseHead(call.localId, head.load, now)
        attempt.head = head
        attempt.isStreaming = kind.isStream && head.isSuccess && head.isValidFor(call)
    }

    override fun onBody(
        attemptNumber: Int,
        bytes: ByteArray,
        now: Instant,
    ): ImmutableList<ExchangeEffect> = ifCurrent(attemptNumber) { attempt ->
        attempt.lastReceivedAt = now
        val head = attempt.head
        when {
            attempt.isForeign ->
                attempt.skipBytes(bytes.size, options)?.let { rejectResponse(attempt, it, now) }
            head == null -> Unit
            attempt.isStreaming -> forwardEvents(attempt, head, bytes, now)
            attempt.isRelaying -> emitter.forward(head, bytes)
            else -> buffer(attempt, head, bytes, now)
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
        if (attempt.isStreaming || attempt.isRelaying) {
            endAttempt(attempt, head.outcome(), "status ${head.status}", now)
            emitter.finishStream(head, history.count, now)
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
        if (alive || attempt.lastReceivedAt > attempt.lastProbedAt) return@ifCurrent
        abandonAttempt(attempt, AttemptOutcome.SILENT, "no response to a probe", now)
    }

    override fun onCallerGone(now: Instant): ImmutableList<ExchangeEffect> = step {
        cancelAttempt(now)
        emitter.onCallerGone(history.count, now)
    }

    override fun onTimer(now: Instant, timerDelay: Duration): ImmutableList<ExchangeEffect> = step {
        val attempt = current
        when {
            now >= call.deadline -> onDeadline(now)
            attempt == null -> Unit
            timerDelay > MAX_TIMER_DELAY -> attempt.onProgress(now - timerDelay)
            now >= attempt.nextSilenceCheck(call.route, options) -> onSilence(attempt, now)
        }
    }

    override fun onStop(now: Instant, waitingOnly: Boolean): ImmutableList<ExchangeEffect> = step {
        if (waitingOnly && (!waiting || history.delivered > 0)) return@step
        cancelAttempt(now)
        finish(Refusal(ErrorCode.DRAINING, "the host is shutting down", SHUTDOWN_RETRY_AFTER), now)
    }

    /** Submits the request to the load policy, for the first attempt or a retry. */
    private fun requestPlacement(now: Instant) {
        val prompt = call.prompt
        val first = history.count == 0
        val objective = call.route.latencyObjective
        val wait = if (first) objective * options.queueWaitFraction else options.maxResumeWait
        val request = PlacementRequest(
            localId = call.localId,
            promptTokens = prompt?.promptTokens ?: 0,
            outputTokens = prompt?.outputTokens ?: 0,
            prompt = prompt?.id,
            priority = call.priority,
            waitUntil = minOf(call.deadline, now + maxOf(wait, MIN_QUEUE_WAIT)),
            isResume = !first,
            avoidedTargets = history.avoidedTargets,
            preferredTarget = history.replica?.id,
            wantsReplica = kind == CallKind.RESUMABLE_STREAM,
        )
        applyPlacement(policy.submit(request, now), now)
    }

    private fun applyPlacement(decision: PlacementDecision, now: Instant) {
        when (decision) {
            is PlacementDecision.Placed -> send(decision, now)
            is PlacementDecision.Waiting -> {
                waiting = true
                listener.onWaiting(call, now)
            }
            is PlacementDecision.Refused -> finish(decision.refusal, now)
        }
    }

    private fun send(placed: PlacementDecision.Placed, now: Instant) {
        val fromReplica = history.onSent(placed.target)
        val attempt = Attempt(history.count, placed.target, placed.replicaTarget, now)
        current = attempt
        val send = ExchangeEffect.Send(
            attemptNumber = attempt.number,
            target = placed.target,
            remaining = call.deadline - now,
            resumeAfterEventId = emitter.lastEventId,
            replicaAddress = fromReplica?.address,
            replicaTarget = placed.replicaTarget,
        )
        listener.onSent(call, send, now)
        emitter.emit(send)
    }

    private fun onSilence(attempt: Attempt, now: Instant) {
        val silence = now - attempt.lastProgressAt
        val maxPause = attempt.stallTimeout(kind, options)
        if (kind.isStream && (maxPause == null || silence < maxPause)) {
            attempt.lastProbedAt = now
            emitter.emit(ExchangeEffect.Probe(attempt.number, attempt.target))
            return
        }
        val outcome = if (kind.isStream) AttemptOutcome.SILENT else AttemptOutcome.FAILED
        if (!attempt.isRelaying && history.mayRetry(outcome, now)) {
            emitter.emit(ExchangeEffect.Cancel(attempt.number))
            endFailedAttempt(attempt, outcome, "silent for $silence", now)
            requestPlacement(now)
        } else {
            // The target may be slow rather than dead, and nobody else can answer the caller.
            attempt.isSilenceTolerated = true
        }
    }

    private fun buffer(attempt: Attempt, head: ResponseHead, bytes: ByteArray, now: Instant) {
        attempt.buffer.write(bytes)
        attempt.onPartialProgress(attempt.buffer.size(), options, now)
        if (attempt.buffer.size() <= options.bufferBytes) return
        if (head.isValidFor(call)) {
            relay(attempt, head)
        } else {
            rejectResponse(attempt, "a response without signature or id", now)
        }
    }

    /** Closes the connection of a target whose bytes are no response or exceed a [limit]. */
    private fun rejectResponse(attempt: Attempt, limit: String, now: Instant): Unit =
        abandonAttempt(attempt, AttemptOutcome.MALFORMED, "malformed or too long: $limit", now)

    private fun abandonAttempt(
        attempt: Attempt,
        outcome: AttemptOutcome,
        detail: String,
        now: Instant,
    ) {
        emitter.emit(ExchangeEffect.Cancel(attempt.number))
        failAttempt(attempt, outcome, detail, now)
    }

    /** Decides how to handle a complete response that was buffered. */
    private fun completeResponse(attempt: Attempt, head: ResponseHead, now: Instant) {
        val response = BufferedResponse(head, attempt.buffer.toByteArray())
        when {
            head.notExecuted -> {
                val replaced = head.status == MISDIRECTED
                history.onNotExecuted(isOther = replaced)
                val outcome = if (replaced) AttemptOutcome.REPLACED else AttemptOutcome.SHED
                failAttempt(attempt, outcome, "not executed, status ${head.status}", now)
            }
            !head.isValidFor(call) -> failAttempt(
                attempt,
                AttemptOutcome.FAILED,
                "invalid response signature or id",
                now,
            )
            head.status >= FIRST_SERVER_ERROR && kind.isRepeatable -> {
                lastErrorResponse = response
                failAttempt(attempt, AttemptOutcome.FAILED, "status ${head.status}", now)
            }
            else -> {
                endAttempt(attempt, head.outcome(), "status ${head.status}", now)
                emitter.respond(response, history.count, now)
            }
        }
    }

    /** Ends an attempt that got no usable response, and retries if that is allowed. */
    private fun failAttempt(
        attempt: Attempt,
        outcome: AttemptOutcome,
        detail: String,
        now: Instant,
    ) {
        endFailedAttempt(attempt, outcome, detail, now)
        if (attempt.isRelaying) {
            return emitter.abort("truncated response: $detail", history.count, now)
        }
        if (history.mayRetry(outcome, now)) return requestPlacement(now)
        finish(exhausted(kind, history.delivered, outcome, detail), now)
    }

    private fun endFailedAttempt(
        attempt: Attempt,
        outcome: AttemptOutcome,
        detail: String,
        now: Instant,
    ) {
        endAttempt(attempt, outcome, detail, now)
        history.onFailed(attempt, outcome)
        emitter.restart()
    }

    private fun onDeadline(now: Instant) {
        cancelAttempt(now)
        val code =
            if (history.delivered > 0) ErrorCode.TARGET_TIMEOUT else ErrorCode.DEADLINE_UNREACHABLE
        finish(Refusal(code, "the deadline passed after ${history.count} attempts", null), now)
    }

    /** Ends with a target's error response, with [refusal], or by aborting a started response. */
    private fun finish(refusal: Refusal, now: Instant) {
        if (emitter.isHeadSent) return emitter.abort(refusal.detail, history.count, now)
        val errorResponse = lastErrorResponse
        if (errorResponse != null) return emitter.respond(errorResponse, history.count, now)
        emitter.refuse(withoutNotRunClaim(refusal, kind, history.delivered), history.count, now)
    }

    private fun cancelAttempt(now: Instant) {
        if (waiting) policy.cancel(call.localId)
        waiting = false
        val attempt = current ?: return
        emitter.emit(ExchangeEffect.Cancel(attempt.number))
        endAttempt(attempt, AttemptOutcome.CANCELLED, "cancelled", now)
    }

    private fun forwardEvents(
        attempt: Attempt,
        head: ResponseHead,
        bytes: ByteArray,
        now: Instant,
    ) {
        val before = emitter.eventCount
        emitter.forwardEvents(head, bytes)
        if (emitter.eventCount > before) onEvent(attempt, now)
        attempt.onPartialProgress(emitter.pendingBytes, options, now)
        if (emitter.pendingBytes > options.maxEventBytes) {
            rejectResponse(attempt, "an event", now)
        }
    }

    private fun onEvent(attempt: Attempt, now: Instant) {
        attempt.onProgress(now)
        if (attempt.eventCount++ == 0 && attempt.number > 1) {
            listener.onResumed(call, attempt.number, attempt.target, now - lastEventAt, now)
        }
        lastEventAt = now
    }

    /** Starts to forward a response that is too large to buffer. */
    private fun relay(attempt: Attempt, head: ResponseHead) {
        attempt.isRelaying = true
        emitter.forward(head, attempt.buffer.toByteArray())
        attempt.buffer.reset()
    }

    private fun endAttempt(
        attempt: Attempt,
        outcome: AttemptOutcome,
        detail: String,
        now: Instant,
    ) {
        current = null
        policy.inFlight().onEnded(call.localId, outcome, now)
        listener.onAttemptEnded(call, attempt.number, attempt.target, outcome, detail, now)
    }

    private inline fun step(block: () -> Unit): ImmutableList<ExchangeEffect> {
        if (isEnded) return persistentListOf()
        block()
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
        const val MISDIRECTED = 421

        /** A longer timer delay is a pause of this host and says nothing about the target. */
        val MAX_TIMER_DELAY = 60.milliseconds
        val MIN_QUEUE_WAIT = 20.milliseconds
        val SHUTDOWN_RETRY_AFTER = 20.milliseconds
    }
}

private const val FIRST_SERVER_ERROR = 500

private fun ResponseHead.outcome(): AttemptOutcome =
    if (status >= FIRST_SERVER_ERROR) AttemptOutcome.FAILED else AttemptOutcome.DONE

/** Returns whether the response is signed and belongs to [call]. */
private fun ResponseHead.isValidFor(call: Call): Boolean = sealed && requestId == call.id
