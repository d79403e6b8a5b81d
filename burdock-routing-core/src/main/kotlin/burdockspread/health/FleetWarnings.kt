/** Derives warnings from the rows of a fleet view. */
package burdockspread.health

import java.util.Locale
import kotlin.time.DurationUnit

internal class FleetWarnings(private val options: FleetOptions) {
    private val horizonHours = options.warningHorizon.toDouble(DurationUnit.HOURS)

    fun warningsOf(
        capacity: List<CapacityRow>,
        silent: List<String>,
        lagging: List<LaggingHostRow>,
        degraded: List<DegradedTargetRow>,
    ): List<FleetWarning> = buildList {
        capacity.forEach { row -> capacityWarning(row)?.let(::add) }
        silent.forEach { add(warning(FleetWarningKind.DOMAIN_SILENT, it, "no recent summary")) }
        lagging.forEach {
            val text = "${it.sections} sections behind the document"
            add(warning(FleetWarningKind.HOSTS_BEHIND, it.host, text))
        }
        degraded.forEach {
            val text = "outlier in its pool: ${it.reason}, routing weight ${decimal(it.weight)}"
            add(warning(FleetWarningKind.TARGET_DECAYS, it.target, text))
        }
    }

    /** Returns the most urgent warning about one model in one domain, or null. */
    private fun capacityWarning(row: CapacityRow): FleetWarning? {
        val subject = "${row.model}@${row.domain}"
        val toFloor = row.hoursToFloor
        val toFull = row.hoursToFull
        return when {
            row.targets < row.floorTargets -> {
                val text = "${row.targets} targets, the floor is ${row.floorTargets}"
                warning(FleetWarningKind.BELOW_FLOOR, subject, text)
            }
            toFull != null && toFull < horizonHours && toFull <= (toFloor ?: toFull) ->
                warning(FleetWarningKind.FULL_NEAR, subject, "full in ${decimal(toFull)} h")
            toFloor != null && toFloor < horizonHours && row.trendPerHour < 0 ->
                warning(FleetWarningKind.FLOOR_NEAR, subject, "floor in ${decimal(toFloor)} h")
            row.headRoom < options.lowHeadRoom -> {
                val text = "headroom ${decimal(row.headRoom)}"
                warning(FleetWarningKind.HEAD_ROOM_LOW, subject, text)
            }
            else -> null
        }
    }

    private fun warning(kind: FleetWarningKind, subject: String, text: String) =
        FleetWarning(kind, subject, text)

    private fun decimal(value: Double): String = String.format(Locale.ROOT, "%.2f", value)
}
