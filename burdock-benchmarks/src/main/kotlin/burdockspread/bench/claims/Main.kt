/** Compares the claims ledger with its baselines. */
package burdockspread.bench.claims

private const val FIRST_SEED = 1L
private const val EVENTS = 120
private const val ABLATION_DIVISOR = 30
private val HOSTS = listOf(15, 60, 130, 260, 520)
private val SHARDS = listOf(4, 16, 64)
private val RATES = listOf(50, 100, 200, 400, 800, 1_600)
private const val WRITES_PER_BOOKING_OBJECT = 3 // Claim, outcome and deletion.

/** Prints all tables. The first argument is the number of random schedules. */
public fun main(args: Array<String>) {
    val count = args.firstOrNull()?.toInt() ?: 300_000
    printCommits()
    println(Footprint.measure(bookingsPerSecond = 800).line())
    printSchedules(count)
}

private fun printCommits() {
    println("Bookings through the ledger, seed ${CommitSimulation.SEED}; rates a second, ms")
    val limit = RateLimitedStore.WRITES_PER_SECOND
    println("The store takes $limit writes/s; calls take ${CommitSimulation.STORE_CALL_TIME}")
    println("An object for each booking: ${limit / WRITES_PER_BOOKING_OBJECT} bookings/s")
    println(CommitReport.HEADER)
    val sweeps = HOSTS.flatMap { hosts ->
        SHARDS.map { RateSweep(hosts, it, WriteMode.EACH_HOST) }
    } + HOSTS.map { RateSweep(it, 16, WriteMode.EACH_HOST_LATE_OUTCOMES) } +
        listOf(15, 520).flatMap { hosts ->
            SHARDS.map { RateSweep(hosts, it, WriteMode.SHARD_HOLDER) }
        }
    mapInParallel(sweeps) { it.lines() }.flatten().forEach { println(it) }
}

/** Simulations at increasing booking rates for one write mode. */
private class RateSweep(val hosts: Int, val shards: Int, val writeMode: WriteMode) {
    /** Returns one line per rate, up to the first that the store does not sustain. */
    fun lines(): List<String> {
        val lines = mutableListOf<String>()
        for (rate in RATES) {
            val report = CommitSimulation(CommitScenario(hosts, shards, writeMode, rate)).run()
            lines += report.line()
            if (!report.isSustained) break
        }
        return lines
    }
}

private fun printSchedules(count: Int) {
    println("Random schedules of $EVENTS events, seeds from $FIRST_SEED")
    Ablation.entries.forEach { ablation ->
        val runs = if (ablation == Ablation.NONE) count else count / ABLATION_DIVISOR
        val totals = ScheduleTotals.of(ablation, FIRST_SEED, runs, EVENTS)
        println(totals.line())
        if (ablation == Ablation.NONE) println("  decisions: ${totals.decisions}")
    }
}
