/** The fleet's view, worked out from the last summary of each domain and its history. */
package burdockspread.health

import burdockspread.error.ErrorCode
import burdockspread.id.FailureDomainId
import burdockspread.id.ModelId
import kotlinx.collections.immutable.toImmutableList
import kotlin.time.Instant

internal class RealFleetHealth(private val options: FleetOptions) : FleetHealth {
    private val summaries = HashMap<FailureDomainId, DomainSummary>()
    private val trends = HashMap<TrendKey, CapacityTrend>()
    private val warnings = FleetWarnings(options)

    @Synchronized
    override fun onSummary(summary: DomainSummary) {
        val last = summaries[summary.domain]
        if (last != null && summary.at <= last.at) return
        summaries[summary.domain] = summary
        summary.models.forEach { model ->
            trends.getOrPut(TrendKey(model.model, summary.domain)) { CapacityTrend(options) }
                .add(summary.at, model.slots, model.used, model.targets)
        }
    }

    @Synchronized
    override fun view(now: Instant): FleetView {
        val all = summaries.values.sortedBy { it.domain.value }
        val current = all.filter { now - it.at < options.silentAfter }
        val silent = (all - current.toSet()).map { it.domain.value }
        val capacity = current.flatMap { capacityOf(it) }
        val behind = current.flatMap { laggingOf(it) }
        val cut = current.flatMap { degradedOf(it) }
        val generations = current.sumOf { it.generations }
        return FleetView(
            at = now.toString(),
            capacity = capacity.toImmutableList(),
            generationsPerMinute = generations,
            resumeRate = part(current.sumOf { it.resumes }, generations),
            retryRate = part(current.sumOf { it.retries }, generations),
            refusals = refusalsOf(current).toImmutableList(),
            laggingHosts = behind.toImmutableList(),
            degradedTargets = cut.toImmutableList(),
            silentDomains = silent.toImmutableList(),
            warnings = warnings.of(capacity, silent, behind, cut).toImmutableList(),
        )
    }

    private fun capacityOf(summary: DomainSummary): List<CapacityRow> = summary.models.map {
        val trend = trends.getValue(TrendKey(it.model, summary.domain))
        val slotsPerHour = trend.slotsPerHour()
        val free = maxOf(it.slots - it.used, 0.0)
        CapacityRow(
            model = it.model.value,
            domain = summary.domain.value,
            targets = it.targets,
            floorTargets = it.floorTargets,
            slots = it.slots,
            used = it.used,
            headRoom = if (it.slots > 0) free / it.slots else 0.0,
            trendPerHour = if (it.slots > 0) slotsPerHour / it.slots else 0.0,
            hoursToFloor = hoursToFloor(it, trend),
            hoursToFull = hoursUntil(free, trend.usedPerHour() - slotsPerHour, it.slots),
        )
    }

    /** The floor is in targets; lost weight counts like lost targets. */
    private fun hoursToFloor(model: ModelSummary, trend: CapacityTrend): Double? {
        if (model.targets == 0 || model.slots <= 0) return null
        val slotsPerTarget = model.slots / model.targets
        val bySlots = -trend.slotsPerHour() / slotsPerTarget
        val loss = maxOf(bySlots, -trend.targetsPerHour())
        val left = (model.targets - model.floorTargets).toDouble()
        return hoursUntil(left, loss, model.targets.toDouble())
    }

    private fun hoursUntil(left: Double, lossPerHour: Double, whole: Double): Double? {
        if (left <= 0) return 0.0
        return if (lossPerHour < whole * options.minLossPerHour) null else left / lossPerHour
    }

    private fun refusalsOf(current: List<DomainSummary>): List<RefusalRow> {
        val counts = sortedMapOf<ErrorCode, Long>()
        current.forEach { summary ->
            summary.refusals.forEach { (code, count) -> counts.merge(code, count, Long::plus) }
        }
        return counts.map { (code, count) -> RefusalRow(code.number, code.name, count) }
    }

    private fun laggingOf(summary: DomainSummary): List<LaggingHostRow> = summary.laggingHosts.map {
        LaggingHostRow(it.host.value, summary.domain.value, it.sections)
    }

    private fun degradedOf(summary: DomainSummary): List<DegradedTargetRow> =
        summary.degradedTargets.map {
            DegradedTargetRow(
                target = it.target.value,
                domain = summary.domain.value,
                reason = it.reason.name,
                weight = it.weight,
                probation = it.probation,
                since = it.since.toString(),
            )
        }

    private fun part(count: Long, whole: Long): Double =
        if (whole > 0) count / whole.toDouble() else 0.0

    private data class TrendKey(val model: ModelId, val domain: FailureDomainId)
}
