/** Load balancing and admission control of one service. */
package burdockspread.forward.load

import burdockspread.error.Refusal
import burdockspread.forward.catalog.Service
import burdockspread.forward.directory.ListedTarget
import burdockspread.forward.directory.TargetEntry
import burdockspread.id.FailureDomainId
import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentSetOf
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Assigns the requests of one service to its targets. Not thread-safe and does no I/O; called from
 * the event loop that serves requests.
 *
 * A host knows its own requests exactly. The requests of other hosts are known from the load that
 * targets report in their responses and from [onPeerLoads].
 */
public interface LoadPolicy {
    /** Sets the service's limits and the targets that may receive new requests. */
    public fun onTargets(service: Service, targets: ImmutableList<ListedTarget>, now: Instant)

    /**
     * Places [request] immediately, queues it or refuses it. A request that supersedes an earlier
     * attempt is placed at a target that it does not avoid, or not at all.
     */
    public fun submit(request: PlacementRequest, now: Instant): PlacementDecision

    /**
     * Decides on queued requests. Called when a request has ended, when the targets have changed,
     * and on every tick.
     */
    public fun poll(now: Instant): ImmutableList<ResolvedPlacement>

    /** Removes a queued request. */
    public fun cancel(localId: Long)

    /**
     * Records that another host lost [target]. Returns true if the target's failure domain was not
     * suspected yet, so that the report should be forwarded to other hosts.
     */
    public fun onPeerLostTarget(target: TargetId, now: Instant): Boolean

    /** Applies what a response of [target] asked of its callers. */
    public fun onNotice(target: TargetEntry, notice: TargetNotice, now: Instant)

    /** Number of queued requests. */
    public val waiting: Int

    /**
     * Returns this host's load on each model runner, to be reported to other hosts. Empty for
     * plain services, whose calls end before a report would arrive.
     */
    public fun localLoads(): ImmutableMap<TargetId, HostLoad>

    /** Sets the load that the reporting hosts put on each target, as of [at]. */
    public fun onPeerLoads(loads: Map<TargetId, HostLoad>, at: Instant)

    /** Returns the tracker that receives the events of placed requests. */
    public fun inFlight(): InFlightTracker

    /** Returns statistics for metrics and state dumps. */
    public fun stats(now: Instant): PoolStats

    /** Creates the policy of one service on a host in `localDomain`. */
    public fun interface Factory {
        public fun create(
            localDomain: FailureDomainId,
            seed: Long,
            versions: VersionGate,
            lossListener: TargetLossListener,
        ): LoadPolicy

        /** Creates a policy that treats all versions of the targets alike. */
        public fun create(
            localDomain: FailureDomainId,
            seed: Long,
            lossListener: TargetLossListener,
        ): LoadPolicy = create(localDomain, seed, VersionGate.NONE, lossListener)
    }

    public companion object {
        /** Returns a factory for the policy described in `docs/design/platform.md`. */
        public fun factory(
            options: LoadOptions = LoadOptions(),
            prompts: PromptLocations = PromptLocations(),
        ): Factory = Factory { domain, seed, versions, lossListener ->
            RealLoadPolicy(domain, seed, lossListener, options, prompts, versions)
        }
    }
}

/** Receives the targets that this host lost, which makes their failure domains suspect. */
public fun interface TargetLossListener {
    public fun onTargetLost(target: TargetEntry)
}

/**
 * The requirements of a request on its target.
 *
 * @property localId identifies the request; unique within the process.
 * @property promptTokens number of prompt tokens, 0 for calls to plain services.
 * @property prompt identifies the prompt among all hosts, or null if it is unknown.
 * @property outputTokens expected number of generated tokens, 0 for calls to plain services.
 * @property waitUntil latest instant at which it is worth starting.
 * @property isResume whether it resumes a response that was partly delivered.
 * @property avoidedTargets targets that failed this request.
 * @property preferredTarget target that holds a KV cache replica of the earlier attempt, or null.
 * @property wantsReplica whether a second target should keep a replica of the attempt's KV cache.
 * @property route name of the request's route.
 * @property isTrial whether it tries a new version of the service; see [VersionGate].
 * @property supersedes outcome of the earlier attempt, which stays in flight until the request is
 * placed and then ends; null if no attempt is in flight.
 */
public data class PlacementRequest(
    public val localId: Long,
    public val promptTokens: Int = 0,
    public val prompt: Long? = null,
    public val outputTokens: Int = 0,
    public val priority: Int = 0,
    public val waitUntil: Instant,
    public val isResume: Boolean = false,
    public val avoidedTargets: ImmutableSet<TargetId> = persistentSetOf(),
    public val preferredTarget: TargetId? = null,
    public val wantsReplica: Boolean = false,
    public val supersedes: AttemptOutcome? = null,
    public val route: String = "",
    public val isTrial: Boolean = false,
)

/** The decision on a placement request. */
public sealed interface PlacementDecision {
    /** Send the request to [target] now; [replicaTarget] may keep a replica of its KV cache. */
    public data class Placed(
        public val target: TargetEntry,
        public val replicaTarget: TargetEntry?,
    ) : PlacementDecision

    /** The request is queued until [LoadPolicy.poll] decides on it. */
    public data object Waiting : PlacementDecision

    /** The request was not sent and will not be. */
    public data class Refused(public val refusal: Refusal) : PlacementDecision
}

/** The decision on a request that was queued. */
public data class ResolvedPlacement(
    public val localId: Long,
    public val decision: PlacementDecision,
)

/** Receives the events of placed requests. */
public interface InFlightTracker {
    /** Called when the response head or first event arrived, with the target's reported load. */
    public fun onResponseHead(localId: Long, load: ReportedLoad?, now: Instant)

    /** Called when the request has left the target: completed, failed or cancelled. */
    public fun onEnded(localId: Long, outcome: AttemptOutcome, now: Instant)
}

/**
 * Load that a target reports for all hosts together.
 *
 * @property slowdown how long work takes on the target's machine at the moment, as a multiple of
 * the usual, or null if the target does not say. It changes many times per second.
 */
public data class ReportedLoad(
    public val running: Int,
    public val waiting: Int,
    public val slots: Int,
    public val slowdown: Double? = null,
)

/**
 * Load of one or several hosts on a target.
 *
 * @property runs requests that run or wait there.
 * @property unreadTokens prompt tokens of those that the target has not responded to yet.
 */
public data class HostLoad(public val runs: Int, public val unreadTokens: Int = 0) {
    public operator fun plus(other: HostLoad): HostLoad =
        HostLoad(runs + other.runs, unreadTokens + other.unreadTokens)
}

/**
 * What a target asks of its callers.
 *
 * @property isLeaving whether it is about to stop and must get no further requests.
 * @property retryAfter time for which it wants no requests, or null.
 */
public data class TargetNotice(
    public val isLeaving: Boolean = false,
    public val retryAfter: Duration? = null,
) {
    public companion object {
        /** Asks for nothing. */
        public val NONE: TargetNotice = TargetNotice()
    }
}

/** How an attempt at a target ended. */
public enum class AttemptOutcome(
    /** Whether the target may have started to process the request. */
    public val mayHaveRun: Boolean,
) {
    /** A complete response arrived. */
    DONE(mayHaveRun = true),

    /** The target responded with an error or not in time. */
    FAILED(mayHaveRun = true),

    /** The target sent bytes that are no response to the request, or too many of them. */
    MALFORMED(mayHaveRun = true),

    /** The connection was closed before the response was complete. */
    BROKEN(mayHaveRun = true),

    /** The target stopped as it began to respond, perhaps by the fault of the request. */
    CRASHED(mayHaveRun = true),

    /** The target reported that it is full; the request was not executed. */
    SHED(mayHaveRun = false),

    /** No connection could be established. */
    UNREACHABLE(mayHaveRun = false),

    /** The target accepted the request and then stopped responding. */
    SILENT(mayHaveRun = true),

    /** Another target now uses the address. */
    REPLACED(mayHaveRun = false),

    /** The caller disconnected or the deadline passed; says nothing about the target. */
    CANCELLED(mayHaveRun = true),
}

/** Statistics of one service's pool. */
public data class PoolStats(
    public val targets: Int,
    public val ejected: Int,
    public val inFlight: Int,
    public val waiting: Int,
)

/** Tuning parameters of [LoadPolicy]. */
public data class LoadOptions(
    /** Usable fraction of a runner's KV cache; the rest absorbs requests of other hosts. */
    public val kvCacheFraction: Double = 0.92,
    /** Maximum number of queued requests per service and host. */
    public val maxQueueLength: Int = 256,
    /** Score penalty of another failure domain, since traffic between domains has a cost. */
    public val egressPenalty: Double = 0.6,
    /** Score penalty of a target that fails every request. */
    public val failurePenalty: Double = 12.0,
    /** Score penalty of a target in whose failure domain another target was recently lost. */
    public val suspectDomainPenalty: Double = 8.0,
    /** Maximum time for which a failing target is ejected. */
    public val maxEjectionTime: Duration = MAX_EJECTION_TIME,
)
