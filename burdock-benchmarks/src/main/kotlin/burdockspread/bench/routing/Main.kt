/** Prints the comparisons of routing, admission control and retries, in virtual time. */
package burdockspread.bench.routing

private val DELAYS = listOf(0.1, 1.0, 5.0)
private val LOADS = listOf(0.6, 0.8, 0.9)
private val OVERLOADS = listOf(0.8, 1.0, 1.5, 2.0, 3.0, 5.0)
private val FLEET_SIZES = listOf(300, 3_000, 12_000)

/** Runs all trials with one seed; `--no-choice` leaves out the routing policies. */
public fun main(args: Array<String>) {
    println("seed ${RoutingTrial.SEED}, ${Fleet.ENGINES} engines of 16 slots, virtual time")
    if ("--no-choice" !in args) printChoice()
    printAdmission()
    printRetries()
    printCost()
}

private fun printChoice() {
    println("\ntarget choice: time to the first token, time between tokens, cache hits, spread")
    val head = "%-22s %5s %5s %6s %8s %8s %8s %8s %6s %7s"
    val names = listOf("policy", "hosts", "load", "delay", "p50 ms", "p95 ms", "p99 ms")
    println(head.format(*(names + listOf("gap95", "cache", "spread")).toTypedArray()))
    listOf(Fleet.HOSTS, Fleet.MANY_HOSTS).forEach { hosts ->
        LOADS.forEach { load -> printRows(hosts, load) }
    }
}

private fun printRows(hosts: Int, load: Double) = DELAYS.forEach { delay ->
    ROUTING_POLICIES.forEach { printRow(it, hosts, load, delay) }
}

private fun printRow(policy: NamedPolicy, hosts: Int, load: Double, delay: Double) {
    val result = RoutingTrial(policy.factory, load, delay, hosts).run()
    val row = "%-22s %5d %5.2f %6.1f %8d %8d %8d %8d %6.2f %7.2f"
    println(
        row.format(
            policy.name,
            hosts,
            load,
            delay,
            result.p50Millis,
            result.p95Millis,
            result.p99Millis,
            result.tokenGapP95Millis,
            result.cacheHitRate,
            result.spread,
        ),
    )
}

private fun printAdmission() {
    println(
        "\nadmission: first tokens in time (${AdmissionTrial.DEADLINE_SECONDS} s) against the load",
    )
    val head = "%-14s %6s %9s %9s %8s %8s %12s"
    println(head.format("policy", "load", "offered/s", "good/s", "late", "refused", "refused95 ms"))
    for (load in OVERLOADS) {
        for (admissionEnabled in listOf(false, true)) {
            val result = AdmissionTrial(admissionEnabled, load).run()
            println(
                "%-14s %6.1f %9.1f %9.1f %8d %8d %12d".format(
                    if (admissionEnabled) "admission" else "none",
                    load,
                    result.offered,
                    result.goodput,
                    result.late,
                    result.refused,
                    result.refusalP95Millis,
                ),
            )
        }
    }
}

private fun printRetries() {
    println("\nretries: half of the engines are lost for 30 s")
    println(
        "%-10s %18s %14s %12s".format("budget", "attempts/request", "good in outage", "recovery s"),
    )
    for (budgeted in listOf(false, true)) {
        val result = RetryTrial(budgeted).run()
        println(
            "%-10s %18.2f %14.2f %12.0f".format(
                if (budgeted) "0.1" else "none",
                result.attemptsPerRequest,
                result.goodputInOutage,
                result.recoverySeconds,
            ),
        )
    }
}

private fun printCost() {
    println("\ncost of one decision (this machine, one thread, shared with other work)")
    println(
        "%-10s %14s %14s %14s %14s".format(
            "targets",
            "choose ns",
            "choose B",
            "flight ns",
            "flight B",
        ),
    )
    FLEET_SIZES.forEach { size ->
        val cost = DecisionCost(size)
        val choice = cost.choiceCost()
        val request = cost.requestCost()
        val row = "%-10d %14d %14d %14d %14d"
        println(row.format(size, choice.nanos, choice.bytes, request.nanos, request.bytes))
    }
}
