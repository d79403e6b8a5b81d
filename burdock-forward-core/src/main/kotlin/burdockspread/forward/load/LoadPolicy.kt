/** Who waits, who is refused and where work goes. */
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
 * Places the requests of one service on its targets. Not thread-safe and without input or output:
 * the shell calls it from the loop that serves requests.
 *
 * Each host sees its own requests at once and those of the other hosts only through the load that
 * targets report with their answers.
 */
public interface LoadPolicy {
    /** Sets the service's figures and the targets that may get new work. */
    public fun onTargets(service: Service, targets: ImmutableList<ListedTarget>, now: Instant)

    /** Places [request] now, lets it wait, or refuses it. */
    public fun submit(request: PlacementRequest, now: Instant): PlacementDecision

    /** Decides on waiting demands; call it when work ended or targets changed, and every tick. */
    public fun poll(now: Instant): ImmutableList<ResolvedPlacement>

    /** Takes a waiting demand back. */
    public fun cancel(localId: Long)

    /**
     * Takes another host's news that it lost [target]. True when the failure domain of the target
     * was not in doubt already, so that others should hear of it too.
     */
    public fun onPeerLostTarget(target: TargetId, now: Instant): Boolean

    /** Number of demands that wait. */
    public val waiting: Int

    /**
     * Requests of this host at each model runner, for the other hosts. Calls of plain services end
     * before anyone could hear of them, so these are not told.
     */
    public fun localLoads(): ImmutableMap<TargetId, Int>

    /** Takes the requests that the other hosts which tell have at each target, as of [at]. */
    public fun onPeerLoads(loads: Map<TargetId, Int>, at: Instant)

    /** Records the events of a placed request. */
    public fun inFlight(): InFlightTracker

    /** Figures for metrics and state dumps. */
    public fun stats(now: Instant): PoolStats

    /** Makes the policy of one service on a host in [ownDomain]. */
    public fun interface Factory {
        public fun create(
            ownDomain: FailureDomainId,
            seed: Long,
            losses: TargetLossListener,
        ): LoadPolicy
    }

    public companion object {
        /** The policy described in `docs/design/platform.md`. */
        public fun factory(options: LoadOptions = LoadOptions()): Factory =
            Factory { domain, seed, losses -> RealLoadPolicy(domain, seed, losses, options) }
    }
}

/** Hears that this host lost a target, and with it the trust in the target's failure domain. */
public fun interface TargetLossListener {
    public fun onTargetLost(target: TargetEntry)
}

/**
 * What a request needs of a target.
 *
 * @property localId names the request towards the policy; unique within the process.
 * @property promptTokens tokens to read, 0 for calls of plain services.
 * @property outputTokens expected tokens to generate, 0 for calls of plain services.
 * @property waitUntil latest instant at which it is worth starting.
 * @property isResume whether it goes on with an answer that is partly delivered.
 * @property avoidedTargets targets that failed this request.
 * @property preferredTarget target that holds a copy of the run's memory, or null.
 * @property wantsReplica whether a second target should keep a copy of the run's memory.
 */
public data class PlacementRequest(
    public val localId: Long,
    public val promptTokens: Int = 0,
    public val outputTokens: Int = 0,
    public val priority: Int = 0,
    public val waitUntil: Instant,
    public val isResume: Boolean = false,
    public val avoidedTargets: ImmutableSet<TargetId> = persistentSetOf(),
    public val preferredTarget: TargetId? = null,
    public val wantsReplica: Boolean = false,
)

/** What becomes of a demand. */
public sealed interface PlacementDecision {
    /** Send it to [target] now; [replicaTarget] may keep a copy of the run's memory. */
    public data class Placed(
        public val target: TargetEntry,
        public val replicaTarget: TargetEntry?,
    ) : PlacementDecision

    /** It waits until [LoadPolicy.poll] settles it. */
    public data object Waiting : PlacementDecision

    /** It was not sent and will not be. */
    public data class Refused(public val refusal: Refusal) : PlacementDecision
}

/** The end of a wait. */
public data class ResolvedPlacement(
    public val localId: Long,
    public val decision: PlacementDecision,
)

/** Takes the events of requests that were placed. */
public interface InFlightTracker {
    /** The first event or the answer's head came, with what the target said of its load. */
    public fun onResponseHead(localId: Long, load: ReportedLoad?, now: Instant)

    /** The request is off the target: done, failed or cancelled. */
    public fun onEnded(localId: Long, outcome: AttemptOutcome, now: Instant)
}

/** Load of a target as it says itself, of all hosts together. */
public data class ReportedLoad(
    public val running: Int,
    public val waiting: Int,
    public val slots: Int,
)

/** How a request left a target. */
public enum class AttemptOutcome(
    /** Whether the target may have begun to work on the request. */
    public val mayHaveRun: Boolean,
) {
    /** A whole answer came. */
    DONE(mayHaveRun = true),

    /** The target answered with a failure, or with what is no answer. */
    FAILED(mayHaveRun = true),

    /** The connection ended before the answer was whole. */
    BROKEN(mayHaveRun = true),

    /** The target said that it is full; the request did not run. */
    SHED(mayHaveRun = false),

    /** No connection could be made. */
    UNREACHABLE(mayHaveRun = false),

    /** The target accepted the request and fell silent. */
    SILENT(mayHaveRun = true),

    /** Another target has the address. */
    REPLACED(mayHaveRun = false),

    /** The caller left or the time ran out; says nothing about the target. */
    CANCELLED(mayHaveRun = true),
}

/** Figures of one service's pool. */
public data class PoolStats(
    public val targets: Int,
    public val suspected: Int,
    public val inFlight: Int,
    public val waiting: Int,
)

/** Tuning of [LoadPolicy]. */
public data class LoadOptions(
    /** Part of a runner's memory that is planned for; the rest covers what other hosts send. */
    public val memoryShare: Double = 0.92,
    /** Most demands that wait for one service on one host. */
    public val queueBound: Int = 256,
    /** Score by which a target of another failure domain is worse; bytes between domains cost. */
    public val crossDomainScore: Double = 0.6,
    /** Score of a target that fails every request. */
    public val failureScore: Double = 12.0,
    /** Score of a target in whose failure domain another one has lately fallen silent. */
    public val domainScore: Double = 8.0,
    /** Longest time for which a target that failed to connect is left out. */
    public val longestPause: Duration = LONGEST_PAUSE,
)
