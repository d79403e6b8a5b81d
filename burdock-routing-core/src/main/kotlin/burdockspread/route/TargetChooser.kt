/** Selection of the target that is expected to deliver the first token soonest. */
package burdockspread.route

import arrow.core.Either
import burdockspread.error.Refusal
import burdockspread.id.FailureDomainId
import burdockspread.id.TargetId
import kotlin.time.Instant

/** Chooses targets for requests. Thread-safe. */
public interface TargetChooser {
    /**
     * Chooses a target of [pool], or refuses with `NO_TARGET` if none may take the request.
     * The cost does not depend on the size of the pool.
     */
    public fun choose(
        request: RouteRequest,
        pool: TargetPool,
        now: Instant,
    ): Either<Refusal, Choice>

    /** Records that [request] was sent to its target and returns the handle for its events. */
    public fun onSent(request: RouteRequest, choice: Choice, now: Instant): InFlightRequest

    /** Processes a load report. Reports older than the latest one are ignored. */
    public fun onReport(report: LoadReport)

    /** Processes a cache event, which may be delayed or follow lost events. */
    public fun onCacheEvent(event: CacheEvent, now: Instant)

    /** Sets the weight of a target: 1 for its full share of requests, 0 for none. */
    public fun setWeight(target: TargetId, weight: Double)

    /** Creates [TargetChooser] instances. */
    public companion object {
        /** Returns a chooser for a host in [ownDomain] that keeps target state in [registry]. */
        public operator fun invoke(
            ownDomain: FailureDomainId,
            registry: TargetRegistry,
            seed: Long,
            options: RouteOptions = RouteOptions(),
        ): TargetChooser = RealTargetChooser(ownDomain, registry, SeededRandom(seed), options)
    }
}

/** A request that was sent to a target. It ends once, with [onDone] or [onFailed]. */
public interface InFlightRequest {
    /** Target that the request was sent to. */
    public val target: TargetId

    /** Called on the first token. [cachedTokens] is null if the target does not report it. */
    public fun onFirstToken(now: Instant, cachedTokens: Int? = null)

    /** Called when [count] tokens arrive, including the first one. */
    public fun onTokens(count: Int, now: Instant)

    /** Called when the request succeeds. */
    public fun onDone(now: Instant)

    /** Called when the request fails or is cancelled at this target. */
    public fun onFailed(failure: RequestFailure, now: Instant)
}

/** Reason why a request ended early at a target. */
public enum class RequestFailure {
    /** The connection could not be established; no requests go to the target during a backoff. */
    NOT_CONNECTED,

    /** The connection broke or the target returned an error. */
    BROKEN,

    /** The target sent nothing for longer than the stall timeout. */
    STALLED,

    /** The caller or the system cancelled the request; not counted against the target. */
    CANCELLED,
}
