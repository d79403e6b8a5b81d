/** Prints what edits cost: at the store, on the way to all hosts and on each host. */
package burdockspread.bench.document

import java.util.Locale

private const val SEED = 5
private const val EDITS = 20
private const val SECONDS = 600

/** Store's outgoing bytes in a second that the document may use, for both ways alike. */
private const val STORE_BYTES_PER_SECOND = 50_000_000.0

/** Runs the whole comparison. */
public fun main() {
    println("seed $SEED, $EDITS edits of one element each, 40,000 edits a day")
    println()
    printStore()
    println()
    printSpread()
    println()
    println("document of the target size on one host")
    ViewCost(FleetSize.ALL.last()).lines().forEach { println("  $it") }
}

private fun printStore() {
    println("at the store: relays = 2 hosts of each failure domain; all = every host watches")
    println(STORE_HEADER)
    for (size in FleetSize.ALL) {
        val cost = EditCostRun(size, SEED).run(EDITS)
        val relays = size.domains * FanOut.RELAYS
        row(
            "${size.hosts}",
            "$relays",
            "${size.hosts}",
            figure(cost.reads + cost.relayReads * relays),
            figure((cost.reads + cost.relayReads * relays) * FleetSize.EDITS_PER_SECOND),
            figure(cost.writes * FleetSize.EDITS_PER_SECOND),
            figure(cost.watchBytes * relays / KB),
            figure(cost.plainBytes * size.hosts / KB),
            figure(cost.manifestBytes.toDouble() * relays / KB),
            figure(cost.documentBytes.toDouble() * size.hosts / KB),
        )
    }
}

private fun printSpread() {
    println("edit in force on the last host, ms; bytes sent by a host in a second")
    row("hosts", "way", "entry B", "p50", "max", "B/s mean", "B/s most")
    for (size in FleetSize.ALL) {
        val cost = EditCostRun(size, SEED).run(EDITS)
        spreadRow(size, "all", Delivery.WATCH_BY_ALL, cost.plainBytes)
        spreadRow(size, "text", Delivery.RELAYS, cost.plainBytes)
        spreadRow(size, "deflated", Delivery.RELAYS, cost.entryBytes)
        spreadRow(size, "delta", Delivery.RELAYS, cost.deltaBytes)
    }
}

private fun spreadRow(size: FleetSize, way: String, delivery: Delivery, bytes: Double) {
    val fanOut = FanOut(size, delivery, bytes.toInt(), STORE_BYTES_PER_SECOND, SEED)
    val result = fanOut.run(FleetSize.EDITS_PER_SECOND, SECONDS)
    row(
        "${size.hosts}",
        way,
        figure(bytes),
        figure(result.p50),
        figure(result.max),
        figure(result.bytesPerSecond),
        figure(result.busiestBytesPerSecond),
    )
}

private const val KB = 1_000

private val STORE_HEADER = """
               watches    watches      reads      reads     writes    KB/edit    KB/edit  relist KB  relist KB
      hosts     relays        all   per edit      per s      per s     relays        all     relays        all
""".trim('\n')

private fun row(vararg cells: String) = println(cells.joinToString("") { it.padStart(COLUMN) })

private const val COLUMN = 11

private fun figure(value: Double): String =
    String.format(Locale.ROOT, if (value < 100) "%.1f" else "%.0f", value)
