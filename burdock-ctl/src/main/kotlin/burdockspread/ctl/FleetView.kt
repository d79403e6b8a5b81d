/** Renders a fleet report as tables. */
package burdockspread.ctl

import burdockspread.settings.toKotlinDuration
import burdockspread.wire.fleet.FleetReport
import burdockspread.wire.fleet.HostVersions
import burdockspread.wire.fleet.PoolReport
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.Instant

/** Tables of a fleet report, with the entries closest to a limit first. */
internal class FleetView(private val report: FleetReport) {
    /** Returns the lines to print. */
    fun lines(): List<String> = buildList {
        add("as seen by ${report.host} at ${Instant.fromEpochSeconds(report.at.seconds)}")
        add("")
        add(pools().render())
        add("")
        val resumes = formatRate(report.resumesPerMinute)
        val retries = formatRate(report.retriesPerMinute)
        add("resumes $resumes/min, retries $retries/min")
        if (report.refusalsCount > 0) addAll(listOf("", refusals().render()))
        if (report.probationCount > 0) addAll(listOf("", probation().render()))
        addAll(listOf("", documentLine()))
    }

    private fun pools(): TextTable {
        val columns = arrayOf("pool", "zone", "live", "floor", "free", "an hour", "to floor", "")
        val table = TextTable(*columns)
        for (pool in report.poolsList.sortedWith(compareBy({ timeToFloor(it) }, { it.headRoom }))) {
            table.addRow(
                pool.name,
                pool.failureDomain,
                "${pool.liveTargets}",
                "${pool.floorTargets}",
                formatPercent(pool.headRoom),
                formatTrend(pool.trendPerHour),
                timeToFloor(pool).takeIf { it.isFinite() }?.toString() ?: "-",
                if (pool.liveTargets <= pool.floorTargets) "AT FLOOR" else "",
            )
        }
        return table
    }

    private fun refusals(): TextTable {
        val table = TextTable("code", "refusal", "per minute")
        report.refusalsList.sortedByDescending { it.perMinute }.forEach {
            table.addRow("${it.code}", it.name, formatRate(it.perMinute))
        }
        return table
    }

    private fun probation(): TextTable {
        val table = TextTable("on probation", "zone", "weight", "reason")
        report.probationList.sortedBy { it.weight }.forEach {
            table.addRow(it.target, it.failureDomain, formatPercent(it.weight), it.reason)
        }
        return table
    }

    private fun documentLine(): String {
        val newest = HashMap<String, Long>()
        report.hostsList.forEach { host ->
            host.inForceMap.forEach { (section, version) ->
                newest.merge(section, version, ::maxOf)
            }
        }
        val lagging = report.hostsList.filter { isLagging(it, newest) }.map { it.host }.sorted()
        val count = report.hostsCount
        return if (lagging.isEmpty()) {
            "document: $count hosts alike"
        } else {
            "document: ${lagging.size} of $count hosts behind: ${lagging.joinToString()}"
        }
    }

    private fun isLagging(host: HostVersions, newest: Map<String, Long>): Boolean =
        newest.any { (section, version) -> (host.inForceMap[section] ?: 0) < version }

    private fun timeToFloor(pool: PoolReport): Duration =
        if (pool.hasTimeToFloor()) pool.timeToFloor.toKotlinDuration() else Duration.INFINITE

    private fun formatPercent(fraction: Double): String = format("%.0f%%", fraction * PERCENT)

    private fun formatTrend(fraction: Double): String = format("%+.1f%%", fraction * PERCENT)

    private fun formatRate(perMinute: Double): String = format("%.1f", perMinute)

    private fun format(pattern: String, value: Double) = String.format(Locale.ROOT, pattern, value)

    private companion object {
        const val PERCENT = 100
    }
}
