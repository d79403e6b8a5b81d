/** The project's policy and the baselines beside it. */
package burdockspread.bench.load

import burdockspread.forward.catalog.Service
import burdockspread.forward.directory.ListedTarget
import burdockspread.forward.directory.TargetEntry
import burdockspread.forward.load.AttemptOutcome
import burdockspread.forward.load.InFlightTracker
import burdockspread.forward.load.LoadPolicy
import burdockspread.forward.load.PlacementDecision
import burdockspread.forward.load.PlacementRequest
import burdockspread.forward.load.PoolStats
import burdockspread.forward.load.ReportedLoad
import burdockspread.forward.load.ResolvedPlacement
import burdockspread.forward.load.TargetLossListener
import burdockspread.id.FailureDomainId
import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlin.random.Random
import kotlin.time.Instant

/** The project's policy as it runs: the hosts of a failure domain tell each other their loads. */
internal val OURS = NamedPolicy("ours", Sharing(0.1, 0.02, ownDomain = true), ::ours)

/** As if the loads of all hosts were known everywhere. */
internal val OURS_ALL_TELL = NamedPolicy("ours, all tell", Sharing(0.1, 0.02), ::ours)

/** Each host for itself, with the loads that runners report in their answers. */
internal val OURS_ALONE = NamedPolicy("ours, alone", create = ::ours)

/** Hosts tell each other once in a while: all choose what looked empty a second ago. */
internal val OURS_LATE = NamedPolicy("ours, told late", Sharing(0.8, 1.0), ::ours)

private fun ours(domain: FailureDomainId, seed: Long, @Suppress("UNUSED_PARAMETER") world: World) =
    LoadPolicy.factory().create(domain, seed, TargetLossListener { })

/** Knows the load of every runner at every moment; nothing that hosts can see comes close. */
internal val ALL_KNOWING = NamedPolicy("all-knowing") { _, seed, world ->
    Baseline(seed) { open, _, random ->
        val least = open.minOf { world.load(it.id) }
        open.filter { world.load(it.id) == least }.random(random)
    }
}
internal val RANDOM = NamedPolicy("random") { _, seed, _ ->
    Baseline(seed) { open, _, random -> open.random(random) }
}
internal val LEAST_OWN = NamedPolicy("least own") { _, seed, _ ->
    Baseline(seed) { open, own, random ->
        val least = open.minOf { own[it.id] ?: 0 }
        open.filter { (own[it.id] ?: 0) == least }.random(random)
    }
}
internal val TWO_CHOICES = NamedPolicy("two choices") { _, seed, _ ->
    Baseline(seed) { open, own, random ->
        List(2) { open.random(random) }.minBy { own[it.id] ?: 0 }
    }
}
internal val POLICIES = listOf(
    RANDOM,
    TWO_CHOICES,
    LEAST_OWN,
    OURS_ALONE,
    OURS_LATE,
    OURS,
    OURS_ALL_TELL,
    ALL_KNOWING,
)

/** Chooses one of the open targets, given the own requests at each. */
internal fun interface Chooser {
    fun choose(open: List<TargetEntry>, own: Map<TargetId, Int>, random: Random): TargetEntry
}

/** Places at once, never refuses; a target that broke a request is left out of its next tries. */
internal class Baseline(seed: Long, private val chooser: Chooser) :
    LoadPolicy,
    InFlightTracker {
    private val random = Random(seed)
    private var targets = emptyList<TargetEntry>()
    private val own = HashMap<TargetId, Int>()
    private val inFlight = HashMap<Long, TargetId>()
    private val broken = HashSet<TargetId>()

    override val waiting: Int = 0

    override fun onTargets(service: Service, targets: ImmutableList<ListedTarget>, now: Instant) {
        this.targets = targets.map { it.entry }
        broken.retainAll(this.targets.map { it.id }.toSet())
    }

    override fun submit(request: PlacementRequest, now: Instant): PlacementDecision {
        val open = targets.filter { it.id !in broken }.ifEmpty { targets }
        val kept = open.firstOrNull { it.id == request.preferredTarget }
        val target = kept ?: chooser.choose(open, own, random)
        inFlight[request.localId] = target.id
        own.merge(target.id, 1, Int::plus)
        val apart = open.filter { it.failureDomain != target.failureDomain }
        return PlacementDecision.Placed(target, apart.randomOrNull(random))
    }

    override fun poll(now: Instant): ImmutableList<ResolvedPlacement> = persistentListOf()

    override fun cancel(localId: Long): Unit = Unit

    override fun onPeerLostTarget(target: TargetId, now: Instant): Boolean = false

    override fun localLoads(): ImmutableMap<TargetId, Int> = persistentMapOf()

    override fun onPeerLoads(loads: Map<TargetId, Int>, at: Instant): Unit = Unit

    override fun inFlight(): InFlightTracker = this

    override fun stats(now: Instant) = PoolStats(targets.size, broken.size, inFlight.size, 0)

    override fun onResponseHead(localId: Long, load: ReportedLoad?, now: Instant): Unit = Unit

    override fun onEnded(localId: Long, outcome: AttemptOutcome, now: Instant) {
        val target = inFlight.remove(localId) ?: return
        own.merge(target, -1, Int::plus)
        if (outcome == AttemptOutcome.BROKEN) broken += target
    }
}
