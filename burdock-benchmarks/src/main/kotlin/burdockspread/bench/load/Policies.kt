/** The project's policy and the baselines beside it. */
package burdockspread.bench.load

import burdockspread.forward.catalog.Service
import burdockspread.forward.directory.Listed
import burdockspread.forward.directory.TargetEntry
import burdockspread.forward.load.Decision
import burdockspread.forward.load.Demand
import burdockspread.forward.load.FlightBook
import burdockspread.forward.load.FlightOutcome
import burdockspread.forward.load.LoadPolicy
import burdockspread.forward.load.LossListener
import burdockspread.forward.load.PoolStats
import burdockspread.forward.load.ReportedLoad
import burdockspread.forward.load.Settled
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
    LoadPolicy.factory().create(domain, seed, LossListener { })

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
    FlightBook {
    private val random = Random(seed)
    private var targets = emptyList<TargetEntry>()
    private val own = HashMap<TargetId, Int>()
    private val flights = HashMap<Long, TargetId>()
    private val broken = HashSet<TargetId>()

    override val waiting: Int = 0

    override fun onTargets(service: Service, targets: ImmutableList<Listed>, now: Instant) {
        this.targets = targets.map { it.entry }
        broken.retainAll(this.targets.map { it.id }.toSet())
    }

    override fun submit(demand: Demand, now: Instant): Decision {
        val open = targets.filter { it.id !in broken }.ifEmpty { targets }
        val kept = open.firstOrNull { it.id == demand.prefer }
        val target = kept ?: chooser.choose(open, own, random)
        flights[demand.ticket] = target.id
        own.merge(target.id, 1, Int::plus)
        val apart = open.filter { it.failureDomain != target.failureDomain }
        return Decision.Placed(target, apart.randomOrNull(random))
    }

    override fun poll(now: Instant): ImmutableList<Settled> = persistentListOf()

    override fun cancel(ticket: Long): Unit = Unit

    override fun onLoss(target: TargetId, now: Instant): Boolean = false

    override fun ownLoads(): ImmutableMap<TargetId, Int> = persistentMapOf()

    override fun onOtherLoads(loads: Map<TargetId, Int>, at: Instant): Unit = Unit

    override fun flights(): FlightBook = this

    override fun stats(now: Instant) = PoolStats(targets.size, broken.size, flights.size, 0)

    override fun onHead(ticket: Long, load: ReportedLoad?, now: Instant): Unit = Unit

    override fun onEnded(ticket: Long, outcome: FlightOutcome, now: Instant) {
        val target = flights.remove(ticket) ?: return
        own.merge(target, -1, Int::plus)
        if (outcome == FlightOutcome.BROKEN) broken += target
    }
}
