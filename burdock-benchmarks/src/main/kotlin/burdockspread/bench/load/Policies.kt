/** [LoadPolicy] variants and the baselines that they are compared with. */
package burdockspread.bench.load

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
import burdockspread.forward.load.TargetLossListener
import burdockspread.forward.load.TargetNotice
import burdockspread.id.FailureDomainId
import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlin.random.Random
import kotlin.time.Instant

/** [LoadPolicy] as deployed: hosts share their loads within a failure domain. */
internal val DOMAIN_SHARING =
    NamedPolicy("ours", Sharing(0.1, 0.02, withinDomain = true), ::createPolicy)

/** [LoadPolicy] with loads shared among all hosts. */
internal val GLOBAL_SHARING = NamedPolicy("ours, all tell", Sharing(0.1, 0.02), ::createPolicy)

/** [LoadPolicy] without sharing, using only the loads that runners report in responses. */
internal val NO_SHARING = NamedPolicy("ours, alone", create = ::createPolicy)

/** Rare and late sharing: hosts herd onto the runners that were idle a second ago. */
internal val LATE_SHARING = NamedPolicy("ours, told late", Sharing(0.8, 1.0), ::createPolicy)

private fun createPolicy(
    domain: FailureDomainId,
    seed: Long,
    @Suppress("UNUSED_PARAMETER") oracle: Oracle,
) = LoadPolicy.factory().create(domain, seed, TargetLossListener { })

/** Upper bound: uses the current load of every runner, which hosts can't observe. */
internal val ORACLE = NamedPolicy("all-knowing") { _, seed, oracle ->
    BaselinePolicy(seed) { open, _, random ->
        val minLoad = open.minOf { oracle.load(it.id) }
        open.filter { oracle.load(it.id) == minLoad }.random(random)
    }
}
internal val RANDOM = NamedPolicy("random") { _, seed, _ ->
    BaselinePolicy(seed) { open, _, random -> open.random(random) }
}
internal val LEAST_IN_FLIGHT = NamedPolicy("least own") { _, seed, _ ->
    BaselinePolicy(seed) { open, ownLoads, random ->
        val minLoad = open.minOf { ownLoads[it.id] ?: 0 }
        open.filter { (ownLoads[it.id] ?: 0) == minLoad }.random(random)
    }
}
internal val TWO_CHOICES = NamedPolicy("two choices") { _, seed, _ ->
    BaselinePolicy(seed) { open, ownLoads, random ->
        List(2) { open.random(random) }.minBy { ownLoads[it.id] ?: 0 }
    }
}
internal val POLICIES = listOf(
    RANDOM,
    TWO_CHOICES,
    LEAST_IN_FLIGHT,
    NO_SHARING,
    LATE_SHARING,
    DOMAIN_SHARING,
    GLOBAL_SHARING,
    ORACLE,
)

/** Chooses one of the candidates, given this host's requests in flight at each. */
internal fun interface Chooser {
    fun choose(open: List<TargetEntry>, ownLoads: Map<TargetId, Int>, random: Random): TargetEntry
}

/** Places immediately, never refuses, and skips a target after it broke a request. */
internal class BaselinePolicy(seed: Long, private val chooser: Chooser) :
    LoadPolicy,
    InFlightTracker {
    private val random = Random(seed)
    private var targets = emptyList<TargetEntry>()
    private val ownLoads = HashMap<TargetId, Int>()
    private val inFlight = HashMap<Long, TargetId>()
    private val broken = HashSet<TargetId>()

    override val waiting: Int = 0

    override fun onTargets(service: Service, targets: ImmutableList<ListedTarget>, now: Instant) {
        this.targets = targets.map { it.entry }
        broken.retainAll(this.targets.map { it.id }.toSet())
    }

    override fun submit(request: PlacementRequest, now: Instant): PlacementDecision {
        val open = targets.filter { it.id !in broken }.ifEmpty { targets }
        val preferred = open.firstOrNull { it.id == request.preferredTarget }
        val target = preferred ?: chooser.choose(open, ownLoads, random)
        inFlight[request.localId] = target.id
        ownLoads.merge(target.id, 1, Int::plus)
        val otherDomains = open.filter { it.failureDomain != target.failureDomain }
        return PlacementDecision.Placed(target, otherDomains.randomOrNull(random))
    }

    override fun poll(now: Instant): ImmutableList<ResolvedPlacement> = persistentListOf()

    override fun cancel(localId: Long): Unit = Unit

    override fun onPeerLostTarget(target: TargetId, now: Instant): Boolean = false

    override fun localLoads(): ImmutableMap<TargetId, HostLoad> = persistentMapOf()

    override fun onPeerLoads(loads: Map<TargetId, HostLoad>, at: Instant): Unit = Unit

    /** The emulated runners ask for nothing. */
    override fun onNotice(target: TargetEntry, notice: TargetNotice, now: Instant): Unit = Unit

    override fun inFlight(): InFlightTracker = this

    override fun stats(now: Instant) = PoolStats(targets.size, broken.size, inFlight.size, 0)

    override fun onResponseHead(localId: Long, load: ReportedLoad?, now: Instant): Unit = Unit

    override fun onEnded(localId: Long, outcome: AttemptOutcome, now: Instant) {
        val target = inFlight.remove(localId) ?: return
        ownLoads.merge(target, -1, Int::plus)
        if (outcome == AttemptOutcome.BROKEN || outcome == AttemptOutcome.CRASHED) broken += target
    }
}
