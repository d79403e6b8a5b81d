/** Choice of the target that should deliver the first token soonest. */
package burdockspread.route

import arrow.core.Either
import burdockspread.error.Refusal
import burdockspread.id.FailureDomainId
import burdockspread.id.TargetId
import kotlin.time.Instant

/** Chooses targets for requests. All functions may be called from several threads at a time. */
public interface TargetChooser {
    /**
     * Chooses a target of [pool], or refuses with `NO_TARGET` when none may take the request.
     * The cost does not grow with the size of the pool.
     */
    public fun choose(
        request: RouteRequest,
        pool: TargetPool,
        now: Instant,
    ): Either<Refusal, Choice>

    /** Records that [request] was sent to its target and returns the handle for its events. */
    public fun onSent(request: RouteRequest, choice: Choice, now: Instant): InFlightRequest

    /** Takes a load report; older ones than the last are ignored. */
    public fun onReport(report: LoadReport)

    /** Takes a cache event, which may be late or follow a gap. */
    public fun onCacheEvent(event: CacheEvent, now: Instant)

    /** Sets the weight of a target: 1 for full work, 0 for none. */
    public fun setWeight(target: TargetId, weight: Double)

    /** Makes choosers. */
    public companion object {
        /** A chooser for a host in [ownDomain] that keeps its counters in [registry]. */
        public operator fun invoke(
            ownDomain: FailureDomainId,
            registry: TargetRegistry,
            seed: Long,
            options: RouteOptions = RouteOptions(),
        ): TargetChooser = RealTargetChooser(ownDomain, registry, SeededRandom(seed), options)
    }
}

/** A request on its way at a target. Each is ended once, by [onDone] or [onFailed]. */
public interface InFlightRequest {
    /** Target that the request was sent to. */
    public val target: TargetId

    /** The first token came; [cachedTokens] of the prompt were in the cache, or null if unsaid. */
    public fun onFirstToken(now: Instant, cachedTokens: Int? = null)

    /** [count] tokens came, the first one included. */
    public fun onTokens(count: Int, now: Instant)

    /** The request ended well. */
    public fun onDone(now: Instant)

    /** The request failed or was cancelled at this target. */
    public fun onFailed(failure: RequestFailure, now: Instant)
}

/** Why a request ended early at a target. */
public enum class RequestFailure {
    /** No connection could be made; the target gets a pause. */
    NOT_CONNECTED,

    /** The connection broke or the target answered with an error. */
    BROKEN,

    /** The target went silent for longer than the stall timeout. */
    STALLED,

    /** The caller or the system gave the request up; says nothing about the target. */
    CANCELLED,
}
