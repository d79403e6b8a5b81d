/** Results of random schedules. */
package burdockspread.bench.claims

/** The results of one schedule. */
internal class ScheduleReport(
    val violations: Set<Violation>,
    val decisions: Map<String, Int>,
    val maxSendsPerKey: Int,
    val writes: Long,
)

/** Results summed over many schedules. */
internal class ScheduleTotals(val label: String) {
    var schedules = 0
    var failedSchedules = 0
    var maxSendsPerKey = 0
    val violations = LinkedHashMap<Violation, Int>()
    val decisions = sortedMapOf<String, Int>()
    var firstFailedSeed: Long? = null

    fun add(seed: Long, report: ScheduleReport) {
        schedules++
        maxSendsPerKey = maxOf(maxSendsPerKey, report.maxSendsPerKey)
        report.violations.forEach { violations.merge(it, 1, Int::plus) }
        report.decisions.forEach { (name, count) -> decisions.merge(name, count, Int::plus) }
        if (report.violations.isNotEmpty()) {
            failedSchedules++
            firstFailedSeed = firstFailedSeed ?: seed
        }
    }

    fun line(): String = "%-44s %7d schedules %6d broken, at most %d sends for a key %s".format(
        label,
        schedules,
        failedSchedules,
        maxSendsPerKey,
        violations,
    )

    companion object {
        /** Runs [count] schedules of [events] events each, with seeds from [firstSeed]. */
        fun of(ablation: Ablation, firstSeed: Long, count: Int, events: Int): ScheduleTotals {
            val totals = ScheduleTotals(ablation.label)
            val seeds = (firstSeed until firstSeed + count).toList()
            mapInParallel(seeds) { ClaimSchedule(it, ablation).run(events) }
                .forEachIndexed { i, report -> totals.add(seeds[i], report) }
            return totals
        }
    }
}
