/** What random schedules showed. */
package burdockspread.bench.claims

/** What one schedule showed. */
internal class ScheduleReport(
    val violations: Set<Violation>,
    val decisions: Map<String, Int>,
    val mostSends: Int,
    val writes: Long,
)

/** Sums over many schedules. */
internal class ScheduleTotals(val label: String) {
    var schedules = 0
    var broken = 0
    var mostSends = 0
    val violations = LinkedHashMap<Violation, Int>()
    val decisions = sortedMapOf<String, Int>()
    var firstBrokenSeed: Long? = null

    fun add(seed: Long, report: ScheduleReport) {
        schedules++
        mostSends = maxOf(mostSends, report.mostSends)
        report.violations.forEach { violations.merge(it, 1, Int::plus) }
        report.decisions.forEach { (name, count) -> decisions.merge(name, count, Int::plus) }
        if (report.violations.isNotEmpty()) {
            broken++
            firstBrokenSeed = firstBrokenSeed ?: seed
        }
    }

    fun line(): String = "%-44s %7d schedules %6d broken, at most %d sends for a key %s".format(
        label,
        schedules,
        broken,
        mostSends,
        violations,
    )

    companion object {
        /** Runs [count] schedules of [events] events each, with seeds from [firstSeed]. */
        fun of(weakening: Weakening, firstSeed: Long, count: Int, events: Int): ScheduleTotals {
            val totals = ScheduleTotals(weakening.label)
            val seeds = (firstSeed until firstSeed + count).toList()
            inParallel(seeds) { ClaimSchedule(it, weakening).run(events) }
                .forEachIndexed { i, report -> totals.add(seeds[i], report) }
            return totals
        }
    }
}
