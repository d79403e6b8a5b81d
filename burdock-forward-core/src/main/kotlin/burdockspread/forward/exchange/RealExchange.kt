/** The state machine of one request. */
package burdockspread.forward.exchange

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.forward.catalog.CallKind
import burdockspread.forward.directory.TargetEntry
import burdockspread.forward.load.AttemptOutcome
import burdockspread.forward.load.LoadPolicy
import burdockspread.forward.load.PlacementDecision
import burdockspread.forward.load.PlacementRequest
import burdockspread.id.TargetId
import burdockspread.retry.RetryBudget
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
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
    private val outlet = Outlet(call, listener)
    private var avoidedTargets = persistentSetOf<TargetId>()
    private var current: Attempt? = null
    private var waiting = false

    private var attempts = 0

    /** Attempts whose request reached the target that it was meant for; the route bounds them. */
    private var reached = 0

    /** Attempts that may have run. */
    private var delivered = 0

    private var lastEventAt = call.receivedAt

    /** Target that keeps a copy of the memory of an earlier run, until it has been tried. */
    private var copyHolder: TargetEntry? = null

    /** A target's own failure, passed on when nothing better comes. */
    private var failure: HeldAnswer? = null

    override val ended: Boolean get() = outlet.ended

    override val wakeAt: Instant
        get() {
            val attempt = current ?: return call.deadline
            return minOf(call.deadline, attempt.checkAt(call.route, options))
        }

    override fun start(now: Instant): ImmutableList<ExchangeEffect> = step {
        budget.onFirstAttempt()
        seek(now)
    }

    override fun onSettled(
        decision: PlacementDecision,
        now: Instant,
    ): ImmutableList<ExchangeEffect> = step {
        if (!waiting) return@step
        waiting = false
        settle(decision, now)
    }

    override fun onResponseHead(
        attempt: Int,
        head: AnswerHead,
        now: Instant,
    ): ImmutableList<ExchangeEffect> = ofCurrent(attempt) { run ->
        run.heardAt = now
        run.foreign = head.answers != null && head.answers != call.id
        if (run.foreign) {
            run.tainted = true
            return@ofCurrent
        }
        policy.inFlight().onResponseHead(call.localId, head.load, now)
        run.head = head
        run.streams = kind.stream && head.success && head.isOurs()
    }

    override fun onBody(
        attempt: Int,
        bytes: ByteArray,
        now: Instant,
    ): ImmutableList<ExchangeEffect> = ofCurrent(attempt) { run ->
        run.heardAt = now
        if (run.foreign) return@ofCurrent
        val head = run.head ?: return@ofCurrent
        if (run.streams) {
            pass(run, head, bytes, now)
        } else if (run.passing) {
            outlet.pass(head, bytes)
        } else {
            run.held.write(bytes)
            if (run.held.size() > options.heldBytes && head.isOurs()) passOn(run, head)
        }
    }

    override fun onEnd(
        attempt: Int,
        reusable: Boolean,
        now: Instant,
    ): ImmutableList<ExchangeEffect> = ofCurrent(attempt) { run ->
        if (run.foreign) {
            run.foreign = false
            return@ofCurrent
        }
        val head = run.head ?: return@ofCurrent
        outlet.emit(ExchangeEffect.Release(run.number, reusable && !run.tainted))
        if (run.streams || run.passing) {
            leave(run, outcomeOf(head), "status ${head.status}", now)
            outlet.finish(head, attempts, now)
        } else {
            judge(run, head, now)
        }
    }

    override fun onFailure(
        attempt: Int,
        failure: AttemptFailure,
        now: Instant,
    ): ImmutableList<ExchangeEffect> = ofCurrent(attempt) { run ->
        if (failure == AttemptFailure.NOT_CONNECTED) {
            reached--
            delivered--
        }
        if (failure == AttemptFailure.MALFORMED) outlet.emit(ExchangeEffect.Drop(run.number))
        fail(run, failure.outcome, failure.name.lowercase(), now)
    }

    override fun onProbe(
        attempt: Int,
        alive: Boolean,
        now: Instant,
    ): ImmutableList<ExchangeEffect> = ofCurrent(attempt) { run ->
        if (alive || run.heardAt > run.probedAt) return@ofCurrent
        outlet.emit(ExchangeEffect.Drop(run.number))
        fail(run, AttemptOutcome.SILENT, "no answer to a probe", now)
    }

    override fun onCallerGone(now: Instant): ImmutableList<ExchangeEffect> = step {
        cancelRun(now)
        outlet.onCallerGone(attempts, now)
    }

    override fun onTimer(now: Instant, late: Duration): ImmutableList<ExchangeEffect> = step {
        val run = current
        when {
            now >= call.deadline -> expire(now)
            run == null -> Unit
            late > TOLERATED_LATENESS -> run.heardAt = maxOf(run.heardAt, now - late)
            now >= run.checkAt(call.route, options) -> onSilence(run, now)
        }
    }

    override fun onStop(now: Instant): ImmutableList<ExchangeEffect> = step {
        cancelRun(now)
        giveUp(Refusal(ErrorCode.DRAINING, "the host stops", STOP_RETRY), now)
    }

    /** Looks for a target, for the first time or again. */
    private fun seek(now: Instant) {
        val holder = copyHolder
        val prompt = call.prompt
        val first = attempts == 0
        val objective = call.route.latencyObjective
        val wait = if (first) objective * options.waitShare else options.resumeWait
        val request = PlacementRequest(
            localId = call.localId,
            promptTokens = prompt?.promptTokens ?: 0,
            outputTokens = prompt?.outputTokens ?: 0,
            priority = call.priority,
            waitUntil = minOf(call.deadline, now + maxOf(wait, SHORTEST_WAIT)),
            isResume = !first,
            avoidedTargets = avoidedTargets,
            preferredTarget = holder?.id,
            wantsReplica = kind == CallKind.RESUMABLE_STREAM,
        )
        settle(policy.submit(request, now), now)
    }

    private fun settle(decision: PlacementDecision, now: Instant) {
        when (decision) {
            is PlacementDecision.Placed -> send(decision, now)
            is PlacementDecision.Waiting -> {
                waiting = true
                listener.onWaiting(call, now)
            }
            is PlacementDecision.Refused -> giveUp(decision.refusal, now)
        }
    }

    private fun send(placed: PlacementDecision.Placed, now: Instant) {
        attempts++
        reached++
        delivered++
        val fromCopy = copyHolder?.takeIf { it.id == placed.target.id }
        if (fromCopy != null) copyHolder = null
        val run = Attempt(attempts, placed.target, placed.replicaTarget, now)
        current = run
        val send = ExchangeEffect.Send(
            attempt = run.number,
            target = placed.target,
            remaining = call.deadline - now,
            resumeAfter = outlet.lastEventId,
            copyAt = fromCopy?.address,
            replicaTarget = placed.replicaTarget,
        )
        listener.onSent(call, send, now)
        outlet.emit(send)
    }

    private fun onSilence(run: Attempt, now: Instant) {
        val silent = now - run.heardAt
        if (!kind.stream) {
            outlet.emit(ExchangeEffect.Drop(run.number))
            fail(run, AttemptOutcome.FAILED, "silent for $silent", now)
            return
        }
        val limit = run.patience(kind, options)
        if (limit != null && silent >= limit) {
            outlet.emit(ExchangeEffect.Drop(run.number))
            fail(run, AttemptOutcome.SILENT, "silent for $silent", now)
            return
        }
        run.probedAt = now
        outlet.emit(ExchangeEffect.Probe(run.number, run.target))
    }

    /** Decides what becomes of a whole answer that is no running stream. */
    private fun judge(run: Attempt, head: AnswerHead, now: Instant) {
        val answer = HeldAnswer(head, run.held.toByteArray())
        when {
            head.notRun -> {
                delivered--
                val replaced = head.status == MISDIRECTED
                if (replaced) reached--
                val outcome = if (replaced) AttemptOutcome.REPLACED else AttemptOutcome.SHED
                fail(run, outcome, "not run, status ${head.status}", now)
            }
            !head.isOurs() -> fail(run, AttemptOutcome.FAILED, "an answer without proof", now)
            head.status >= SERVER_ERRORS && kind.repeatable -> {
                failure = answer
                fail(run, AttemptOutcome.FAILED, "status ${head.status}", now)
            }
            else -> {
                leave(run, outcomeOf(head), "status ${head.status}", now)
                outlet.deliver(answer, attempts, now)
            }
        }
    }

    /** The attempt is over without an answer; another one follows where that is allowed. */
    private fun fail(run: Attempt, outcome: AttemptOutcome, detail: String, now: Instant) {
        leave(run, outcome, detail, now)
        avoidedTargets = avoidedTargets.add(run.target.id)
        if (outcome.mayHaveRun && run.replicaTarget != null) copyHolder = run.replicaTarget
        if (run.passing) return outlet.breakOff("the answer ended early: $detail", attempts, now)
        outlet.restart()
        if (!mayRetry(outcome, now)) return giveUp(exhausted(kind, delivered, outcome, detail), now)
        seek(now)
    }

    private fun mayRetry(outcome: AttemptOutcome, now: Instant): Boolean {
        if (!kind.repeatable && delivered > 0) return false
        if (reached >= call.route.maxAttempts || attempts >= MOST_SENDS) return false
        if (call.deadline - now < SHORTEST_TRY) return false
        return outcome == AttemptOutcome.UNREACHABLE || budget.tryTake()
    }

    private fun expire(now: Instant) {
        cancelRun(now)
        val code =
            if (delivered > 0) ErrorCode.TARGET_TIMEOUT else ErrorCode.DEADLINE_UNREACHABLE
        giveUp(Refusal(code, "the deadline passed after $attempts attempts", null), now)
    }

    /** Ends with [refusal], with a target's own failure, or by breaking off what has begun. */
    private fun giveUp(refusal: Refusal, now: Instant) {
        if (outlet.begun) return outlet.breakOff(refusal.detail, attempts, now)
        val held = failure
        if (held != null) return outlet.deliver(held, attempts, now)
        outlet.refuse(truthful(refusal, kind, delivered), attempts, now)
    }

    private fun cancelRun(now: Instant) {
        if (waiting) policy.cancel(call.localId)
        waiting = false
        val run = current ?: return
        outlet.emit(ExchangeEffect.Drop(run.number))
        leave(run, AttemptOutcome.CANCELLED, "cancelled", now)
    }

    private fun pass(run: Attempt, head: AnswerHead, bytes: ByteArray, now: Instant) {
        if (!outlet.passEvents(head, bytes)) return
        if (run.events++ == 0 && run.number > 1) {
            listener.onResumed(call, run.number, run.target, now - lastEventAt, now)
        }
        lastEventAt = now
    }

    /** Starts to pass an answer on that is too large to be held. */
    private fun passOn(run: Attempt, head: AnswerHead) {
        run.passing = true
        outlet.pass(head, run.held.toByteArray())
        run.held.reset()
    }

    private fun leave(run: Attempt, outcome: AttemptOutcome, detail: String, now: Instant) {
        current = null
        policy.inFlight().onEnded(call.localId, outcome, now)
        listener.onAttemptEnded(call, run.number, run.target, outcome, detail, now)
    }

    private fun outcomeOf(head: AnswerHead): AttemptOutcome =
        if (head.status >= SERVER_ERRORS) AttemptOutcome.FAILED else AttemptOutcome.DONE

    private fun AnswerHead.isOurs(): Boolean = sealed && answers == call.id

    private inline fun step(block: () -> Unit): ImmutableList<ExchangeEffect> {
        if (ended) return persistentListOf()
        block()
        return outlet.takeEffects()
    }

    private inline fun ofCurrent(
        attempt: Int,
        block: (Attempt) -> Unit,
    ): ImmutableList<ExchangeEffect> = step {
        val run = current
        if (run != null && run.number == attempt) block(run)
    }

    private companion object {
        const val SERVER_ERRORS = 500
        const val MISDIRECTED = 421

        /** Sends of one request, those included that reached no target or did not run. */
        const val MOST_SENDS = 8

        /** A timer that is later than this tells of the host's own pause, not of the target's. */
        val TOLERATED_LATENESS = 60.milliseconds
        val SHORTEST_WAIT = 20.milliseconds
        val SHORTEST_TRY = 50.milliseconds
        val STOP_RETRY = 20.milliseconds
    }
}
