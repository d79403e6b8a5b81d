/** Compares gossip strategies for edits, membership and load between entry hosts. */
package burdockspread.bench.spread

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

private val fleetSizes = listOf(15, 60, 130, 260, 520)
private const val EDITS = 12
private const val LOSS_RATIO = 0.01

/**
 * Prints propagation times of edits, healing times, heap sizes and traffic by fleet size.
 *
 * @param args numbers of hosts, or empty for the default sizes.
 */
public fun main(args: Array<String>) {
    val sizes = if (args.isEmpty()) fleetSizes else args.map { it.toInt() }
    println("seed ${SpreadTrial.SEED}; an edit must reach every host within 4 s;")
    println("control may take 28,000 B/s, 1.8 % of a core and 32 MB for each host")
    printEditTable(sizes, 0.0)
    printEditTable(sizes, LOSS_RATIO)
    printHealingTable(sizes)
    printStateTable(sizes)
    printTrafficTable(sizes)
}

private fun printEditTable(sizes: List<Int>, loss: Double) {
    println()
    println("Time until the last host has an edit put at one host, $EDITS edits, loss $loss")
    println(row("hosts", "way", "median s", "longest s", "incomplete"))
    for (hosts in sizes) {
        val strategies =
            if (loss == 0.0) Strategy.entries else listOf(Strategy.CHOSEN, Strategy.FULL_PUSH)
        for (strategy in strategies) {
            val result = SpreadTrial(hosts, SpreadTrial.SEED).measureEdits(strategy, EDITS, loss)
            val median = toCell(result.median)
            println(row(hosts, strategy.title, median, toCell(result.longest), result.missed))
        }
    }
}

private fun printTrafficTable(sizes: List<Int>) {
    println()
    println("Bytes per second for each host, sent and received; busy: 40,000 edits and 2,000")
    println("replacements a day whatever the size, load of all targets each 2 s inside the domain,")
    println("a summary of each domain each 5 s; processor: share of a core for each host")
    println(row("hosts", "way", "state", "mean B/s", "highest B/s", "largest B", "processor"))
    for (hosts in sizes) {
        for (strategy in Strategy.entries) {
            for (busy in listOf(false, true)) {
                val traffic = SpreadTrial(hosts, SpreadTrial.SEED)
                    .measureTraffic(strategy, spanOf(strategy), busy)
                println(
                    row(
                        hosts,
                        strategy.title,
                        if (busy) "busy" else "idle",
                        "%.0f".format(traffic.mean),
                        "%.0f".format(traffic.highest),
                        traffic.largestMessage,
                        "%.4f %%".format(traffic.processorShare * 100),
                    ),
                )
            }
        }
    }
}

private fun printHealingTable(sizes: List<Int>) {
    println()
    println("Time to converge after a network partition of one failure domain, edits on both sides")
    println(row("hosts", "cut for", "seconds"))
    for (hosts in sizes) {
        val time = SpreadTrial(hosts, SpreadTrial.SEED).measureHealing(60.seconds)
        println(row(hosts, 60.seconds, toCell(time)))
    }
}

private fun printStateTable(sizes: List<Int>) {
    println()
    println("Heap of the state of one host, all values included")
    println(row("hosts", "targets", "bytes"))
    for (hosts in sizes) println(row(hosts, Fleet(hosts).targets, StateSize.perHost(hosts)))
}

/** Returns a short span for the baselines, whose traffic is the same every second. */
private fun spanOf(strategy: Strategy): Duration =
    if (strategy == Strategy.CHOSEN) 180.seconds else 4.seconds

private fun toCell(duration: Duration?): String =
    duration?.let { "%.2f".format(it.toDouble(DurationUnit.SECONDS)) } ?: "-"

private fun row(vararg cells: Any): String = cells.joinToString("") { "%-24s".format(it) }
