package burdockspread.forward.exchange

import burdockspread.forward.catalog.Service
import burdockspread.forward.directory.Listed
import burdockspread.forward.directory.TargetEntry
import burdockspread.forward.load.Decision
import burdockspread.forward.load.Demand
import burdockspread.forward.load.FlightBook
import burdockspread.forward.load.FlightOutcome
import burdockspread.forward.load.LoadPolicy
import burdockspread.forward.load.PoolStats
import burdockspread.forward.load.ReportedLoad
import burdockspread.forward.load.Settled
import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Instant

/** Places each demand on the next of [targets], and lets it wait when none is left. */
internal class ScriptedPolicy(
    private val targets: List<TargetEntry>,
    private val copyTo: TargetEntry?,
) : LoadPolicy,
    FlightBook {
    var placed = 0

    override fun onTargets(service: Service, targets: ImmutableList<Listed>, now: Instant) = Unit

    override fun submit(demand: Demand, now: Instant): Decision {
        val target = targets.firstOrNull { it.id == demand.prefer } ?: targets.getOrNull(placed)
        if (target == null) return Decision.Waiting
        placed++
        return Decision.Placed(target, copyTo.takeIf { demand.wantsCopy && placed == 1 })
    }

    override fun poll(now: Instant): ImmutableList<Settled> = persistentListOf()

    override fun cancel(ticket: Long) = Unit

    override fun onLoss(target: TargetId, now: Instant): Boolean = false

    override val waiting: Int = 0

    override fun ownLoads(): ImmutableMap<TargetId, Int> = persistentMapOf()

    override fun onOtherLoads(loads: Map<TargetId, Int>, at: Instant): Unit = Unit

    override fun flights(): FlightBook = this

    override fun onHead(ticket: Long, load: ReportedLoad?, now: Instant) = Unit

    override fun onEnded(ticket: Long, outcome: FlightOutcome, now: Instant) = Unit

    override fun stats(now: Instant) = PoolStats(targets.size, 0, 0, 0)
}
