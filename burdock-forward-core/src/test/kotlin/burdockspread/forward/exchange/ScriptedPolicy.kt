package burdockspread.forward.exchange

import burdockspread.forward.catalog.Service
import burdockspread.forward.directory.ListedTarget
import burdockspread.forward.directory.TargetEntry
import burdockspread.forward.load.AttemptOutcome
import burdockspread.forward.load.HostLoad
import burdockspread.forward.load.InFlightTracker
import burdockspread.forward.load.LoadPolicy
import burdockspread.forward.load.PlacementDecision
import burdockspread.forward.load.PlacementRequest
import burdockspread.forward.load.PoolStats
import burdockspread.forward.load.ReportedLoad
import burdockspread.forward.load.ResolvedPlacement
import burdockspread.forward.load.TargetNotice
import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Instant

/** Places each request on the next of [targets] and queues it when none is left. */
internal class ScriptedPolicy(
    private val targets: List<TargetEntry>,
    private val replicaTarget: TargetEntry?,
) : LoadPolicy,
    InFlightTracker {
    var placed = 0

    /** Requests that were submitted, in order. */
    val requests = ArrayList<PlacementRequest>()

    /** Whether the request waits for a decision of the test. */
    var isQueued = false

    /** Number of requests that were withdrawn from the queue. */
    var cancelled = 0

    /** How attempts ended, in order. */
    val outcomes = ArrayList<AttemptOutcome>()

    /** Number of attempts whose end was reported. */
    val endings: Int get() = outcomes.size

    override fun onTargets(service: Service, targets: ImmutableList<ListedTarget>, now: Instant) =
        Unit

    override fun submit(request: PlacementRequest, now: Instant): PlacementDecision {
        requests += request
        val target =
            targets.firstOrNull { it.id == request.preferredTarget } ?: targets.getOrNull(placed)
        isQueued = target == null
        if (target == null) return PlacementDecision.Waiting
        placed++
        return PlacementDecision.Placed(
            target,
            replicaTarget.takeIf { request.wantsReplica && placed == 1 },
        )
    }

    override fun poll(now: Instant): ImmutableList<ResolvedPlacement> = persistentListOf()

    override fun cancel(localId: Long) {
        cancelled++
        isQueued = false
    }

    override fun onPeerLostTarget(target: TargetId, now: Instant): Boolean = false

    /** What targets asked for, in order. */
    val notices = ArrayList<Pair<TargetEntry, TargetNotice>>()

    override fun onNotice(target: TargetEntry, notice: TargetNotice, now: Instant) {
        notices += target to notice
    }

    override val waiting: Int = 0

    override fun localLoads(): ImmutableMap<TargetId, HostLoad> = persistentMapOf()

    override fun onPeerLoads(loads: Map<TargetId, HostLoad>, at: Instant): Unit = Unit

    override fun inFlight(): InFlightTracker = this

    override fun onResponseHead(localId: Long, load: ReportedLoad?, now: Instant) = Unit

    override fun onEnded(localId: Long, outcome: AttemptOutcome, now: Instant) {
        outcomes += outcome
    }

    override fun stats(now: Instant) = PoolStats(targets.size, 0, 0, 0)
}
