/** Prints the comparison of the claims ledger with its baselines. */
package burdockspread.bench.claims

private const val FIRST_SEED = 1L
private const val EVENTS = 120
private const val WEAKENED_SHARE = 30
private val HOSTS = listOf(15, 60, 130, 260, 520)
private val SHARDS = listOf(4, 16, 64)
private val RATES = listOf(50, 100, 200, 400, 800, 1_600)
private const val WRITES_OF_OWN_OBJECT = 3 // Claim, outcome and deletion.

/** Runs the whole comparison. The first argument is the number of schedules. */
public fun main(args: Array<String>) {
    val count = args.firstOrNull()?.toInt() ?: 300_000
    printCommits()
    println(Footprint.measure(bookingsPerSecond = 800).line())
    printSchedules(count)
}

private fun printCommits() {
    println("Bookings through the ledger, seed ${CommitSimulation.SEED}; rates a second, ms")
    val limit = RateLimitedStore.WRITES_PER_SECOND
    println("The store takes $limit writes/s; calls take ${CommitSimulation.STORE_TIME}")
    println("An object for each booking: ${limit / WRITES_OF_OWN_OBJECT} bookings/s")
    println(CommitReport.HEADER)
    val columns = HOSTS.flatMap { hosts ->
        SHARDS.map { Column(hosts, it, Writers.EACH_HOST) }
    } + HOSTS.map { Column(it, 16, Writers.EACH_HOST_LATE_OUTCOMES) } +
        listOf(15, 520).flatMap { hosts ->
            SHARDS.map { Column(hosts, it, Writers.SHARD_HOLDER) }
        }
    inParallel(columns) { it.lines() }.flatten().forEach { println(it) }
}

/** Rising rates of bookings for one way to write. */
private class Column(val hosts: Int, val shards: Int, val writers: Writers) {
    /** One line for each rate, up to the first that the store does not carry. */
    fun lines(): List<String> {
        val lines = mutableListOf<String>()
        for (rate in RATES) {
            val report = CommitSimulation(CommitScenario(hosts, shards, writers, rate)).run()
            lines += report.line()
            if (!report.isCarried) break
        }
        return lines
    }
}

private fun printSchedules(count: Int) {
    println("Random schedules of $EVENTS events, seeds from $FIRST_SEED")
    Weakening.entries.forEach { weakening ->
        val runs = if (weakening == Weakening.NONE) count else count / WEAKENED_SHARE
        val totals = ScheduleTotals.of(weakening, FIRST_SEED, runs, EVENTS)
        println(totals.line())
        if (weakening == Weakening.NONE) println("  decisions: ${totals.decisions}")
    }
}
