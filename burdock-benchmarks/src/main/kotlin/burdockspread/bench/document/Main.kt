/** Prints the cost of edits at the store, in dissemination and on each host. */
package burdockspread.bench.document

import java.util.Locale

private const val SEED = 5
private const val EDITS = 20
private const val RUN_SECONDS = 600

/** Outgoing bandwidth of the store that the document may use, with either [Delivery]. */
private const val STORE_BYTES_PER_SECOND = 50_000_000.0

/** Prints all tables. */
public fun main() {
    println("seed $SEED, $EDITS edits of one element each, 40,000 edits a day")
    println()
    printStore()
    println()
    printFanOut()
    println()
    println("document of the target size on one host")
    ViewCost(FleetSize.ALL.last()).lines().forEach { println("  $it") }
}

private fun printStore() {
    println("at the store: relays = 2 hosts of each failure domain; all = every host watches")
    println(STORE_HEADER)
    for (size in FleetSize.ALL) {
        val cost = EditCostRun(size, SEED).run(EDITS)
        val relays = size.domains * FanOut.RELAYS_PER_DOMAIN
        printRow(
            "${size.hosts}",
            "$relays",
            "${size.hosts}",
            formatNumber(cost.reads + cost.relayReads * relays),
            formatNumber((cost.reads + cost.relayReads * relays) * FleetSize.EDITS_PER_SECOND),
            formatNumber(cost.writes * FleetSize.EDITS_PER_SECOND),
            formatNumber(cost.watchBytes * relays / BYTES_PER_KB),
            formatNumber(cost.plainBytes * size.hosts / BYTES_PER_KB),
            formatNumber(cost.manifestBytes.toDouble() * relays / BYTES_PER_KB),
            formatNumber(cost.documentBytes.toDouble() * size.hosts / BYTES_PER_KB),
        )
    }
}

private fun printFanOut() {
    println("time until the last host applies an edit, ms; bytes sent per host and second")
    printRow("hosts", "way", "entry B", "p50", "max", "B/s mean", "B/s most")
    for (size in FleetSize.ALL) {
        val cost = EditCostRun(size, SEED).run(EDITS)
        printFanOutRow(size, "all", Delivery.WATCH_BY_ALL, cost.plainBytes)
        printFanOutRow(size, "text", Delivery.RELAYS, cost.plainBytes)
        printFanOutRow(size, "deflated", Delivery.RELAYS, cost.entryBytes)
        printFanOutRow(size, "delta", Delivery.RELAYS, cost.deltaBytes)
    }
}

private fun printFanOutRow(size: FleetSize, label: String, delivery: Delivery, bytes: Double) {
    val fanOut = FanOut(size, delivery, bytes.toInt(), STORE_BYTES_PER_SECOND, SEED)
    val result = fanOut.run(FleetSize.EDITS_PER_SECOND, RUN_SECONDS)
    printRow(
        "${size.hosts}",
        label,
        formatNumber(bytes),
        formatNumber(result.p50),
        formatNumber(result.max),
        formatNumber(result.bytesPerSecond),
        formatNumber(result.busiestBytesPerSecond),
    )
}

private const val BYTES_PER_KB = 1_000

private val STORE_HEADER = """
               watches    watches      reads      reads     writes    KB/edit    KB/edit  relist KB  relist KB
      hosts     relays        all   per edit      per s      per s     relays        all     relays        all
""".trim('\n')

private fun printRow(vararg cells: String) = println(cells.joinToString("") { it.padStart(WIDTH) })

private const val WIDTH = 11

private fun formatNumber(value: Double): String =
    String.format(Locale.ROOT, if (value < 100) "%.1f" else "%.0f", value)
