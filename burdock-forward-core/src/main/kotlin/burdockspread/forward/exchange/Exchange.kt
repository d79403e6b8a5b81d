/** One caller's request on its way through the host. */
package burdockspread.forward.exchange

import burdockspread.error.Refusal
import burdockspread.forward.directory.TargetEntry
import burdockspread.forward.load.AttemptOutcome
import burdockspread.forward.load.LoadPolicy
import burdockspread.forward.load.PlacementDecision
import burdockspread.retry.RetryBudget
import kotlinx.collections.immutable.ImmutableList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

internal val RESUME_WAIT: Duration = 4.seconds
internal val COPY_PATIENCE: Duration = 380.milliseconds
internal val BARE_PATIENCE: Duration = 1_500.milliseconds
internal val PROBE_AFTER: Duration = 700.milliseconds

/**
 * Takes one request from its arrival to its final answer: attempts at targets, retries, resumes of
 * streams, refusals. Without input or output and not thread-safe; inputs of attempts that are no
 * longer current are ignored.
 */
public interface Exchange {
    public val call: Call

    /** Whether the caller has its final answer or has left. */
    public val ended: Boolean

    /** Instant at which [onTimer] has something to do. */
    public val wakeAt: Instant

    public fun start(now: Instant): ImmutableList<ExchangeEffect>

    /** The load policy settled a wait. */
    public fun onSettled(decision: PlacementDecision, now: Instant): ImmutableList<ExchangeEffect>

    public fun onResponseHead(
        attempt: Int,
        head: AnswerHead,
        now: Instant,
    ): ImmutableList<ExchangeEffect>

    public fun onBody(attempt: Int, bytes: ByteArray, now: Instant): ImmutableList<ExchangeEffect>

    /** The answer is whole; [reusable] tells whether its connection can take another request. */
    public fun onEnd(attempt: Int, reusable: Boolean, now: Instant): ImmutableList<ExchangeEffect>

    public fun onFailure(
        attempt: Int,
        failure: AttemptFailure,
        now: Instant,
    ): ImmutableList<ExchangeEffect>

    /** A probe of the attempt's target came back, or did not. */
    public fun onProbe(attempt: Int, alive: Boolean, now: Instant): ImmutableList<ExchangeEffect>

    public fun onCallerGone(now: Instant): ImmutableList<ExchangeEffect>

    /** [late] is how much later than asked the host got round to it, for example after a pause. */
    public fun onTimer(now: Instant, late: Duration): ImmutableList<ExchangeEffect>

    /** The process is about to end. */
    public fun onStop(now: Instant): ImmutableList<ExchangeEffect>

    public companion object {
        /** An exchange for [call] whose service is placed by [policy]. */
        public operator fun invoke(
            call: Call,
            policy: LoadPolicy,
            budget: RetryBudget,
            listener: ExchangeListener = ExchangeListener.NONE,
            options: ExchangeOptions = ExchangeOptions(),
        ): Exchange = RealExchange(call, policy, budget, listener, options)
    }
}

/** What the shell has to do for an exchange. */
public sealed interface ExchangeEffect {
    /**
     * Send the request to [target].
     *
     * @property remaining time that the target may work on it.
     * @property resumeAfter last event that the caller has, or null to start from the beginning.
     * @property copyAt address of the target which holds a copy of the run's memory, or null.
     * @property replicaTarget target that is to keep a copy of the run's memory, or null.
     */
    public data class Send(
        public val attempt: Int,
        public val target: TargetEntry,
        public val remaining: Duration,
        public val resumeAfter: String?,
        public val copyAt: String?,
        public val replicaTarget: TargetEntry?,
    ) : ExchangeEffect

    /** Close the connection of [attempt], so that its target stops working on it. */
    public data class Drop(public val attempt: Int) : ExchangeEffect

    /** The answer of [attempt] is whole; keep the connection if it can be used again. */
    public data class Release(public val attempt: Int, public val reusable: Boolean) :
        ExchangeEffect

    /** Ask the target of [attempt] whether it lives. */
    public data class Probe(public val attempt: Int, public val target: TargetEntry) :
        ExchangeEffect

    /** Begin the answer to the caller. [length] is the size of a body that is known as a whole. */
    public data class Begin(public val head: AnswerHead, public val length: Int?) : ExchangeEffect

    /** Pass bytes of the body on. */
    public class Body(public val bytes: ByteArray) : ExchangeEffect

    /** The answer is complete. */
    public data object End : ExchangeEffect

    /** Answer with a refusal or failure of the system's own. */
    public data class Refuse(public val refusal: Refusal) : ExchangeEffect

    /** End the caller's connection so that the answer cannot be taken for complete. */
    public data object BreakOff : ExchangeEffect
}

/** Observes exchanges, for logs and metrics. */
public interface ExchangeListener {
    /** The request waits for room. */
    public fun onWaiting(call: Call, now: Instant) {}

    public fun onSent(call: Call, send: ExchangeEffect.Send, now: Instant) {}

    /** An attempt left its target. */
    public fun onAttemptEnded(
        call: Call,
        attempt: Int,
        target: TargetEntry,
        outcome: AttemptOutcome,
        detail: String,
        now: Instant,
    ) {}

    /** A stream goes on at another target, [pause] after the event before. */
    public fun onResumed(
        call: Call,
        attempt: Int,
        target: TargetEntry,
        pause: Duration,
        now: Instant,
    ) {}

    /** The caller got an answer of a target as a whole. */
    public fun onAnswered(call: Call, status: Int, attempts: Int, now: Instant) {}

    public fun onRefused(call: Call, refusal: Refusal, attempts: Int, now: Instant) {}

    /** The answer was broken off midway. */
    public fun onBrokenOff(call: Call, reason: String, attempts: Int, now: Instant) {}

    public fun onCallerGone(call: Call, attempts: Int, now: Instant) {}

    public companion object {
        /** Observes nothing. */
        public val NONE: ExchangeListener = object : ExchangeListener {}
    }
}
