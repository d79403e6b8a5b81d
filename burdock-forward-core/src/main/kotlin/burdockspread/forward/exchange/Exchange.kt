/** The life cycle of one caller's request. */
package burdockspread.forward.exchange

import burdockspread.buffer.BufferBudget
import burdockspread.error.Refusal
import burdockspread.forward.directory.TargetEntry
import burdockspread.forward.load.AttemptOutcome
import burdockspread.forward.load.LoadPolicy
import burdockspread.forward.load.PlacementDecision
import burdockspread.forward.load.TargetNotice
import burdockspread.forward.quarantine.PromptQuarantine
import burdockspread.id.HostId
import burdockspread.retry.RetryBudget
import kotlinx.collections.immutable.ImmutableList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

internal val MAX_RESUME_WAIT: Duration = 4.seconds
internal val STALL_TIMEOUT_WITH_REPLICA: Duration = 380.milliseconds
internal val STALL_TIMEOUT_WITHOUT_REPLICA: Duration = 1_500.milliseconds
internal val PROBE_AFTER: Duration = 700.milliseconds

/**
 * State machine that handles one request from its arrival to its final response: attempts at
 * targets, retries, stream resumption and refusals. Does no I/O and is not thread-safe; events of
 * attempts that are no longer current are ignored.
 */
public interface Exchange {
    public val call: Call

    /** Whether the caller has received its final response or has disconnected. */
    public val isEnded: Boolean

    /** Instant at which [onTimer] is to be called next. */
    public val wakeAt: Instant

    public fun start(now: Instant): ImmutableList<ExchangeEffect>

    /** Called when the load policy has decided on a queued request. */
    public fun onPlacement(decision: PlacementDecision, now: Instant): ImmutableList<ExchangeEffect>

    public fun onResponseHead(
        attemptNumber: Int,
        head: ResponseHead,
        now: Instant,
    ): ImmutableList<ExchangeEffect>

    public fun onBody(
        attemptNumber: Int,
        bytes: ByteArray,
        now: Instant,
    ): ImmutableList<ExchangeEffect>

    /** Called when the response is complete; [reusable] is whether its connection can be reused. */
    public fun onEnd(
        attemptNumber: Int,
        reusable: Boolean,
        now: Instant,
    ): ImmutableList<ExchangeEffect>

    public fun onFailure(
        attemptNumber: Int,
        failure: AttemptFailure,
        now: Instant,
    ): ImmutableList<ExchangeEffect>

    /** Called with the result of probing the attempt's target. */
    public fun onProbe(
        attemptNumber: Int,
        alive: Boolean,
        now: Instant,
    ): ImmutableList<ExchangeEffect>

    /**
     * Called with the result of [ExchangeEffect.ConfirmCrash], also after the exchange has ended:
     * whether the target of an attempt that broke has stopped.
     */
    public fun onCrashConfirmation(attemptNumber: Int, hasStopped: Boolean, now: Instant)

    /** Called when prompts that crash targets have become known, perhaps this one. */
    public fun onQuarantine(now: Instant): ImmutableList<ExchangeEffect>

    public fun onCallerGone(now: Instant): ImmutableList<ExchangeEffect>

    /**
     * Called when this host stops or resumes reading from the target, since the caller is slow.
     * What is not read is no silence of the target.
     */
    public fun onReading(isReading: Boolean, now: Instant): ImmutableList<ExchangeEffect>

    /** Called at [wakeAt]; [timerDelay] is how late it fired, for example after a pause. */
    public fun onTimer(now: Instant, timerDelay: Duration): ImmutableList<ExchangeEffect>

    /**
     * Called when the process is about to exit. With [waitingOnly], only a request that waits and
     * that no target can have executed ends: the host still stops, but starts no further work.
     */
    public fun onStop(now: Instant, waitingOnly: Boolean = false): ImmutableList<ExchangeEffect>

    public companion object {
        /**
         * Returns an exchange for [call]; [policy] balances the load of its service, [quarantine]
         * knows the prompts that crash targets, [buffers] bounds what all exchanges keep.
         */
        public operator fun invoke(
            call: Call,
            policy: LoadPolicy,
            budget: RetryBudget,
            listener: ExchangeListener = ExchangeListener.NONE,
            options: ExchangeOptions = ExchangeOptions(),
            quarantine: PromptQuarantine = PromptQuarantine(HostId("local")),
            buffers: BufferBudget = BufferBudget(Int.MAX_VALUE, 0),
        ): Exchange = RealExchange(call, policy, budget, listener, options, quarantine, buffers)
    }
}

/** An action that the I/O layer has to carry out for an exchange. */
public sealed interface ExchangeEffect {
    /**
     * Sends the request to [target].
     *
     * @property remaining time left for the target to handle it.
     * @property resumeAfterEventId id of the last event that the caller has, or null to start from
     * the beginning.
     * @property replicaAddress address of the target that holds a KV cache replica of the earlier
     * attempt, or null.
     * @property replicaTarget target that is to keep a KV cache replica of this attempt, or null.
     * @property connection which connections to [target] may carry the request.
     */
    public data class Send(
        public val attemptNumber: Int,
        public val target: TargetEntry,
        public val remaining: Duration,
        public val resumeAfterEventId: String?,
        public val replicaAddress: String?,
        public val replicaTarget: TargetEntry?,
        public val connection: ConnectionUse,
    ) : ExchangeEffect

    /** Closes the connection of [attemptNumber], so that its target stops working on it. */
    public data class Cancel(public val attemptNumber: Int) : ExchangeEffect

    /**
     * Returns the connection of [attemptNumber] to the pool if it is [reusable]; the response is
     * complete.
     */
    public data class Release(public val attemptNumber: Int, public val reusable: Boolean) :
        ExchangeEffect

    /** Checks whether the target of [attemptNumber] is alive. */
    public data class Probe(public val attemptNumber: Int, public val target: TargetEntry) :
        ExchangeEffect

    /** Checks whether [target] has stopped, whose response to [attemptNumber] broke. */
    public data class ConfirmCrash(public val attemptNumber: Int, public val target: TargetEntry) :
        ExchangeEffect

    /** Starts the response to the caller. [length] is the size of the body if it is known. */
    public data class Begin(public val head: ResponseHead, public val length: Int?) : ExchangeEffect

    /** Forwards bytes of the body. */
    public class Body(public val bytes: ByteArray) : ExchangeEffect

    /** Completes the response. */
    public data object End : ExchangeEffect

    /** Responds with a refusal or an error generated by the host itself. */
    public data class Refuse(public val refusal: Refusal) : ExchangeEffect

    /** Closes the caller's connection so that the response cannot be taken for complete. */
    public data object AbortResponse : ExchangeEffect
}

/** Receives the events of exchanges, for logs and metrics. */
public interface ExchangeListener {
    /** Called when the request is queued. */
    public fun onWaiting(call: Call, now: Instant) {}

    public fun onSent(call: Call, send: ExchangeEffect.Send, now: Instant) {}

    /** Called when an attempt has ended, which had come as far as [progress]. */
    public fun onAttemptEnded(
        call: Call,
        attemptNumber: Int,
        target: TargetEntry,
        outcome: AttemptOutcome,
        detail: String,
        progress: AttemptProgress,
        now: Instant,
    ) {}

    /** Called when another target is to take over, [silence] after the last progress. */
    public fun onTakeoverRequested(
        call: Call,
        attemptNumber: Int,
        target: TargetEntry,
        silence: Duration,
        now: Instant,
    ) {}

    /** Called when a requested takeover does not happen; [target] keeps the request. */
    public fun onTakeoverWithdrawn(
        call: Call,
        attemptNumber: Int,
        target: TargetEntry,
        reason: String,
        now: Instant,
    ) {}

    /** Called once per attempt if the silence of [target] has no consequence. */
    public fun onSilenceTolerated(
        call: Call,
        attemptNumber: Int,
        target: TargetEntry,
        reason: String,
        now: Instant,
    ) {}

    /** Called when the response of [target] asked callers to stay away. */
    public fun onNotice(call: Call, target: TargetEntry, notice: TargetNotice, now: Instant) {}

    /** Called when a stream resumes at another target, [pause] after the previous event. */
    public fun onResumed(
        call: Call,
        attemptNumber: Int,
        target: TargetEntry,
        pause: Duration,
        now: Instant,
    ) {}

    /** Called when the response of [target] has been forwarded completely. */
    public fun onResponded(
        call: Call,
        status: Int,
        attempts: Int,
        target: TargetEntry,
        now: Instant,
    ) {}

    public fun onRefused(call: Call, refusal: Refusal, attempts: Int, now: Instant) {}

    /** Called when a response that had started was aborted. */
    public fun onResponseAborted(call: Call, reason: String, attempts: Int, now: Instant) {}

    public fun onCallerGone(call: Call, attempts: Int, now: Instant) {}

    public companion object {
        /** A listener that does nothing. */
        public val NONE: ExchangeListener = object : ExchangeListener {}
    }
}
