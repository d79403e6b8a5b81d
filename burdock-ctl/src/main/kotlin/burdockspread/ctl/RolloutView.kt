/** Renders the state of a rollout. */
package burdockspread.ctl

import burdockspread.document.Rollout

/** A line of counts and a table of the hosts that do not have the version in force yet. */
internal class RolloutView(private val rollout: Rollout) {
    /** Returns the lines to print. */
    fun lines(): List<String> = buildList {
        val pendingCount = rollout.waiting.size + rollout.lagging.size + rollout.unreported.size
        val hostCount = rollout.inForce.size + pendingCount
        add(
            "${rollout.section} version ${rollout.version}: " +
                "in force on ${rollout.inForce.size} of $hostCount hosts",
        )
        if (pendingCount > 0) add(table().render())
    }

    private fun table(): TextTable {
        val table = TextTable("host", "state", "works by")
        rollout.waiting.sortedBy { it.value }.forEach {
            table.addRow(it.value, "waits for other sections", "")
        }
        rollout.lagging.toSortedMap(compareBy { it.value }).forEach { (host, version) ->
            table.addRow(host.value, "lags", "$version")
        }
        rollout.unreported.sortedBy { it.value }.forEach {
            table.addRow(it.value, "no report", "")
        }
        return table
    }
}
