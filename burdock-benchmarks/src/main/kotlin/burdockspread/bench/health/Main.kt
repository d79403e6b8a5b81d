/** Prints times to detection of quiet decay and false alarms in virtual time. */
package burdockspread.bench.health

private const val SEEDS = 20
private const val DAYS = 5
private const val TARGETS = 36

/** Runs every fault at two rates of requests from 20 seeds, then healthy days. */
public fun main() {
    println("quiet decay, $TARGETS targets in the pool, seeds 1 to $SEEDS")
    println("%-20s %8s %8s %8s %8s".format("fault", "req/min", "median s", "worst s", "missed"))
    DecayFault.entries.forEach { fault -> listOf(60.0, 280.0).forEach { printFault(fault, it) } }
    listOf(60.0, 280.0).forEach { perMinute ->
        val alarms = (1..DAYS).sumOf { DecayTrial(TARGETS, perMinute, it).falseAlarms() }
        val targetDays = DAYS * TARGETS
        println(
            "false alarms at %.0f req/min: %d in %d target-days".format(
                perMinute,
                alarms,
                targetDays,
            ),
        )
    }
}

private fun printFault(fault: DecayFault, perMinute: Double) {
    val times = (1..SEEDS).map { DecayTrial(TARGETS, perMinute, it).secondsToFind(fault) }
    val found = times.filterNotNull().sorted()
    val median = found.getOrNull(found.size / 2)?.toString() ?: "-"
    val worst = found.lastOrNull()?.toString() ?: "-"
    val row = "%-20s %8.0f %8s %8s %8d"
    println(
        row.format(
            fault.name.lowercase(),
            perMinute,
            median,
            worst,
            times.count {
                it == null
            },
        ),
    )
}
