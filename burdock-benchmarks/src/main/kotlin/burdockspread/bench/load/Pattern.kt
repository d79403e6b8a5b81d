/** Load patterns under which the policies are compared. */
package burdockspread.bench.load

/** All runners of one failure domain crash at second [at] and restart after [downSeconds]. */
internal data class DomainLoss(val at: Double, val domain: Int, val downSeconds: Double = 1.2)

/** A factor on the arrival rate between two times, in seconds. */
internal data class Surge(val from: Double, val until: Double, val factor: Double)

/**
 * A named load pattern.
 *
 * @property requestsPerSecond arrival rate over all hosts.
 * @property promptTokens mean prompt size; [Trial] draws sizes around it.
 */
internal data class Pattern(
    val name: String,
    val hosts: Int = 15,
    val domains: Int = 3,
    val runnersPerDomain: Int = 8,
    val requestsPerSecond: Double = 6.6,
    val promptTokens: Int = 5_200,
    val outputTokens: Int = 910,
    val losses: List<DomainLoss> = emptyList(),
    val surges: List<Surge> = emptyList(),
) {
    val runners: Int get() = domains * runnersPerDomain

    /** Requests per second that the runners could complete under perfect load balancing. */
    val capacity: Double
        get() {
            val shape = RunnerShape()
            val reading = promptTokens / shape.promptTokensPerSecond
            return runners / (reading + outputTokens * shape.stepSeconds / shape.slots)
        }
}

internal val STEADY = Pattern("steady")
internal val DOMAIN_LOSSES = Pattern(
    "domain losses",
    losses = (0..8).map { DomainLoss(at = 15.0 + it * 6.5, domain = it % 3) },
)
internal val BURST =
    Pattern("burst", surges = listOf(Surge(from = 30.0, until = 40.0, factor = 3.0)))
internal val MANY_HOSTS = Pattern(
    "many small hosts",
    hosts = 92,
    runnersPerDomain = 28,
    requestsPerSecond = 23.6,
)
internal val LONG_PROMPTS = Pattern("long prompts", promptTokens = 9_000, requestsPerSecond = 5.0)
internal val PATTERNS = listOf(STEADY, DOMAIN_LOSSES, BURST, MANY_HOSTS, LONG_PROMPTS)
