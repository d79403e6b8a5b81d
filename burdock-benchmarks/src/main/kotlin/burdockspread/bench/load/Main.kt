/** Prints the results of all policies under each load pattern, in virtual time. */
package burdockspread.bench.load

private val SEEDS = 1L..5L

/** Runs every policy under every load pattern and prints means over the seeds. */
public fun main() {
    println("seeds $SEEDS, virtual time; first event within 4.5 s, pauses within 0.7 s")
    val head = "%-18s %-12s %8s %8s %9s %9s %9s %8s"
    println(
        head.format(
            "pattern",
            "policy",
            "in time",
            "refused",
            "p50 ms",
            "p95 ms",
            "whole s",
            "in vain",
        ),
    )
    PATTERNS.forEach { pattern -> POLICIES.forEach { print(pattern, it) } }
}

private fun print(pattern: Pattern, policy: NamedPolicy) {
    val results = SEEDS.map { Trial(policy, pattern, it).run() }
    println(
        "%-18s %-12s %8.3f %8.3f %9.0f %9.0f %9.2f %8.3f".format(
            pattern.name,
            policy.name,
            results.map { it.goodput }.average(),
            results.map { it.refused.toDouble() / it.requests }.average(),
            results.map { it.firstEventP50Millis.toDouble() }.average(),
            results.map { it.firstEventP95Millis.toDouble() }.average(),
            results.map { it.completionMillis / 1_000 }.average(),
            results.map { it.wastedPrefillRatio }.average(),
        ),
    )
}
