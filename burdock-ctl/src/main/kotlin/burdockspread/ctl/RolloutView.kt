/** Shows a rollout. */
package burdockspread.ctl

import burdockspread.document.Rollout

/** A line of counts and a table of the hosts that do not work by the version yet. */
internal class RolloutView(private val rollout: Rollout) {
    /** The lines to print. */
    fun lines(): List<String> = buildList {
        val behind = rollout.waiting.size + rollout.lagging.size + rollout.unreported.size
        val all = rollout.inForce.size + behind
        add(
            "${rollout.section} version ${rollout.version}: " +
                "in force on ${rollout.inForce.size} of $all hosts",
        )
        if (behind > 0) add(table().render())
    }

    private fun table(): TextTable {
        val table = TextTable("host", "state", "works by")
        rollout.waiting.sortedBy { it.value }.forEach {
            table.row(it.value, "waits for other sections", "")
        }
        rollout.lagging.toSortedMap(compareBy { it.value }).forEach { (host, version) ->
            table.row(host.value, "lags", "$version")
        }
        rollout.unreported.sortedBy { it.value }.forEach {
            table.row(it.value, "no report", "")
        }
        return table
    }
}
