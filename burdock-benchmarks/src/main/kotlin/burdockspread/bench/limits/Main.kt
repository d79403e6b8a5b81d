/** Prints overshoot, fairness and control traffic of organisation limits, in virtual time. */
package burdockspread.bench.limits

private val SIZES = listOf(
    LimitsSize(domains = 3, hostsPerDomain = 5, organisations = 10),
    LimitsSize(domains = 10, hostsPerDomain = 14, organisations = 160),
    LimitsSize(domains = 38, hostsPerDomain = 14, organisations = 650),
)

/** Runs three sizes with one seed, or without the largest if given `--small`. */
public fun main(args: Array<String>) {
    println("organisation limits, seed ${LimitsTrial.SEED}, messages take up to 150 ms")
    val head = "%6s %5s %9s %10s %11s %13s %9s %9s"
    val names = listOf("hosts", "orgs", "sum", "rate/limit", "large use", "small refused")
    println(head.format(*(names + listOf("B/s mean", "B/s max")).toTypedArray()))
    val sizes = if ("--small" in args) SIZES.dropLast(1) else SIZES
    sizes.forEach { size ->
        val result = LimitsTrial(size).run()
        println(
            "%6d %5d %9.4f %10.3f %11.3f %13.4f %9.0f %9.0f".format(
                size.domains * size.hostsPerDomain,
                size.organisations,
                result.maxShareSum,
                result.maxRate,
                result.largeUtilization,
                result.smallRefusalRate,
                result.meanBytesPerSecond,
                result.maxBytesPerSecond,
            ),
        )
    }
}
