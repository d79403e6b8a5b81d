/** Measures store calls by number of duties, and the time to take over a lease. */
package burdockspread.bench.duty

import burdockspread.duty.Duty
import burdockspread.duty.LeaseSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

private const val ROUNDS = 6
private val shardCounts = listOf(10, 40, 140, 444)
private val durations = listOf(6.seconds, 15.seconds, 30.seconds)

/** Prints store calls by plan, store calls by duty count and lease duration, and takeover times. */
public fun main() {
    println("seed ${DutyTrial.SEED}; 38 failure domains; the store takes several hundred writes/s")
    println("and 2,000 reads/s for everything; leases of 15 s renewed each 5 s unless stated")
    printPlanTable()
    printCountTable()
    printTakeoverTable()
}

private fun printPlanTable() {
    println()
    println("Calls of the store by plan, every duty held")
    println(row("plan", "asking", "duties", "writes/s", "reads/s"))
    for (plan in DutyPlan.entries) {
        for (contested in listOf(false, true)) {
            val calls = trial(15.seconds).measureCalls(plan.duties(), contested)
            val candidates = if (contested) "every host" else "first two in line"
            println(
                row(
                    plan.title,
                    candidates,
                    calls.duties,
                    calls.writes.toCell(),
                    calls.reads.toCell(),
                ),
            )
        }
    }
}

private fun printCountTable() {
    println()
    println("Calls of the store by number of duties and duration of the lease")
    println(row("duties", "duration", "", "writes/s", "reads/s"))
    for (count in shardCounts) {
        for (duration in durations) {
            val calls = trial(duration).measureCalls(List(count) { Duty.claims(it) }, false)
            println(row(count, duration, "", calls.writes.toCell(), calls.reads.toCell()))
        }
    }
}

private fun printTakeoverTable() {
    println()
    println("Time until all duties of the busiest host are held again, $ROUNDS times")
    println(row("event", "duration", "", "median s", "longest s"))
    for (duration in durations) {
        val trial = trial(duration)
        val crash = trial.measureCrashes(ROUNDS, 8.seconds)
        println(
            row(
                "crash, reported after 8 s",
                duration,
                "",
                crash.median.toCell(),
                crash.longest.toCell(),
            ),
        )
        val unreported = trial.measureCrashes(ROUNDS, 60.seconds)
        println(
            row(
                "crash, not reported",
                duration,
                "",
                unreported.median.toCell(),
                unreported.longest.toCell(),
            ),
        )
        val drain = trial.measureDrains(ROUNDS, 2.seconds)
        println(
            row(
                "drain, noticed after 2 s",
                duration,
                "",
                drain.median.toCell(),
                drain.longest.toCell(),
            ),
        )
    }
}

private fun trial(duration: Duration) = DutyTrial(
    DutyTrial.SEED,
    LeaseSettings(
        duration = duration,
        margin = duration / 7,
        renewPeriod = duration / 3,
        pollPeriod = duration / 3,
    ),
)

private fun Double.toCell() = "%.1f".format(this)

private fun Duration.toCell() = "%.2f".format(toDouble(DurationUnit.SECONDS))

private fun row(vararg cells: Any): String =
    "%-40s%-20s%-10s%-12s%-12s".format(*cells.map { it.toString() }.toTypedArray())
