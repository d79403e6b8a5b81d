/** Loads that the policies are compared under. */
package burdockspread.bench.load

/** The runners of one failure domain break, at [at] seconds, and start anew after [downSeconds]. */
internal data class DomainLoss(val at: Double, val domain: Int, val downSeconds: Double = 1.2)

/** A factor on the arrivals between two instants, in seconds. */
internal data class Surge(val from: Double, val until: Double, val factor: Double)

/**
 * One named load.
 *
 * @property perSecond requests a second of all hosts together.
 * @property promptTokens mean; the spread is that of [Trial].
 */
internal data class Pattern(
    val name: String,
    val hosts: Int = 15,
    val domains: Int = 3,
    val runnersPerDomain: Int = 8,
    val perSecond: Double = 6.6,
    val promptTokens: Int = 5_200,
    val outputTokens: Int = 910,
    val losses: List<DomainLoss> = emptyList(),
    val surges: List<Surge> = emptyList(),
) {
    val runners: Int get() = domains * runnersPerDomain

    /** Requests a second that the runners could finish if work were divided evenly. */
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
    perSecond = 23.6,
)
internal val LONG_PROMPTS = Pattern("long prompts", promptTokens = 9_000, perSecond = 5.0)
internal val PATTERNS = listOf(STEADY, DOMAIN_LOSSES, BURST, MANY_HOSTS, LONG_PROMPTS)
