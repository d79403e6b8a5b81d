/** Prints times to detection of partial failures, and false alarms, in virtual time. */
package burdockspread.bench.health

private const val SEEDS = 20
private const val DAYS = 5
private const val TARGETS = 36

/** Runs every fault at two request rates with 20 seeds each, then days without faults. */
public fun main() {
    println("quiet decay, $TARGETS targets in the pool, seeds 1 to $SEEDS")
    println("%-20s %8s %8s %8s %8s".format("fault", "req/min", "median s", "worst s", "missed"))
    OutlierFault.entries.forEach { fault -> listOf(60.0, 280.0).forEach { printFault(fault, it) } }
    listOf(60.0, 280.0).forEach { requestsPerMinute ->
        val alarms = (1..DAYS).sumOf { OutlierTrial(TARGETS, requestsPerMinute, it).falseAlarms() }
        val targetDays = DAYS * TARGETS
        println(
            "false alarms at %.0f req/min: %d in %d target-days".format(
                requestsPerMinute,
                alarms,
                targetDays,
            ),
        )
    }
}

private fun printFault(fault: OutlierFault, requestsPerMinute: Double) {
    val times = (1..SEEDS).map {
        OutlierTrial(TARGETS, requestsPerMinute, it).detectionSeconds(fault)
    }
    val found = times.filterNotNull().sorted()
    val median = found.getOrNull(found.size / 2)?.toString() ?: "-"
    val worst = found.lastOrNull()?.toString() ?: "-"
    val row = "%-20s %8.0f %8s %8s %8d"
    println(
        row.format(
            fault.name.lowercase(),
            requestsPerMinute,
            median,
            worst,
            times.count {
                it == null
            },
        ),
    )
}
