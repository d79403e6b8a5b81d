/** Default implementation of [FleetHealth], from the latest summary and history of each domain. */
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
        val previous = summaries[summary.domain]
        if (previous != null && summary.at <= previous.at) return
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
        val lagging = current.flatMap { laggingOf(it) }
        val degraded = current.flatMap { degradedOf(it) }
        val generations = current.sumOf { it.generations }
        return FleetView(
            at = now.toString(),
            capacity = capacity.toImmutableList(),
            generationsPerMinute = generations,
            resumeRate = ratio(current.sumOf { it.resumes }, generations),
            retryRate = ratio(current.sumOf { it.retries }, generations),
            refusals = refusalsOf(current).toImmutableList(),
            laggingHosts = lagging.toImmutableList(),
            degradedTargets = degraded.toImmutableList(),
            silentDomains = silent.toImmutableList(),
            warnings = warnings.warningsOf(capacity, silent, lagging, degraded).toImmutableList(),
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

    /** Returns the hours until the floor is reached. Lost weight counts as lost targets. */
    private fun hoursToFloor(model: ModelSummary, trend: CapacityTrend): Double? {
        if (model.targets == 0 || model.slots <= 0) return null
        val slotsPerTarget = model.slots / model.targets
        val bySlots = -trend.slotsPerHour() / slotsPerTarget
        val maxLossPerHour = maxOf(bySlots, -trend.targetsPerHour())
        val remaining = (model.targets - model.floorTargets).toDouble()
        return hoursUntil(remaining, maxLossPerHour, model.targets.toDouble())
    }

    private fun hoursUntil(remaining: Double, lossPerHour: Double, total: Double): Double? {
        if (remaining <= 0) return 0.0
        return if (lossPerHour < total * options.minLossPerHour) null else remaining / lossPerHour
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

    private fun ratio(count: Long, total: Long): Double =
        if (total > 0) count / total.toDouble() else 0.0

    private data class TrendKey(val model: ModelId, val domain: FailureDomainId)
}
