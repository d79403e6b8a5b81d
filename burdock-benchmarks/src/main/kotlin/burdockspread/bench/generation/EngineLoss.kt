/** Compares both users' recovery policies with the baseline over rising engine failure rates. */
package burdockspread.bench.generation

import burdockspread.generation.AttemptBudget
import burdockspread.generation.TokenLatencyTracker
import burdockspread.journal.CopyPolicy
import burdockspread.recovery.RecoveryMode
import burdockspread.recovery.RecoveryPolicy
import kotlin.random.Random
import kotlin.time.Instant

/** Comparison under engine failures. */
internal object EngineLoss {
    /** Failures of one engine per hour. */
    val FAILURES_PER_HOUR = listOf(1.0, 6.0, 20.0, 60.0)
    const val GENERATIONS = 300

    /** Upper bound on extra attempts as a ratio of all requests. */
    const val BUDGET_RATIO = 0.1
    private const val BURST = 50.0

    fun runPolicy(
        policy: RecoveryPolicy,
        failuresPerHour: Double,
        generations: Int = GENERATIONS,
    ): EngineStats {
        val engines = EngineModel(Random(EngineModel.SEED))
        val stats = EngineStats()
        val budget = RatioBudget()
        val tokenLatency = TokenLatencyTracker()
        var now = Instant.fromEpochSeconds(0)
        repeat(generations) {
            budget.deposit(BUDGET_RATIO * EngineModel.REQUESTS_PER_LONG)
            val spec = EngineModel.spec(policy, engines.length())
            now = EngineRun(spec, failuresPerHour, engines, stats, budget, tokenLatency, now).run()
        }
        return stats
    }

    fun runBaseline(failuresPerHour: Double): EngineStats {
        val engines = EngineModel(Random(EngineModel.SEED))
        val stats = EngineStats()
        repeat(GENERATIONS) {
            NaiveRun(engines.length(), failuresPerHour, engines, stats).run()
        }
        return stats
    }

    fun print() {
        println("Engine losses: $GENERATIONS long generations for each row")
        println(
            "policy           deaths/h  losses  whole  resume p50  resume p99  twice/token  " +
                "read/token  extra/request  extra/loss  copied B/token  state B/open",
        )
        val latencyCost = CopyCost.of(RecoveryMode.SIDE_BY_SIDE)
        val savingCost = CopyCost.of(RecoveryMode.SAVE_RESOURCES)
        FAILURES_PER_HOUR.forEach { rate ->
            row("latency first", rate, runPolicy(EngineModel.LATENCY_FIRST, rate), latencyCost)
            row("resources first", rate, runPolicy(EngineModel.RESOURCES_FIRST, rate), savingCost)
            row("naive", rate, runBaseline(rate), CopyCost.NONE)
        }
        println()
    }

    private fun row(name: String, rate: Double, stats: EngineStats, cost: CopyCost) = println(
        "%-16s %8.0f %7d %6d %8d ms %8d ms %12.4f %11.4f %14.4f %11.2f %15.1f %13d".format(
            name,
            rate,
            stats.losses,
            stats.completed,
            stats.p50.inWholeMilliseconds,
            stats.p99.inWholeMilliseconds,
            stats.duplicatesPerToken,
            stats.reprefilledPerToken,
            stats.extraPerRequest,
            stats.extraPerLoss,
            cost.bytesPerToken,
            cost.stateBytes,
        ),
    )

    /**
     * Cost of copying, which is the same with and without engine failures.
     *
     * @property stateBytes size of the log and the copy of a long generation at half its length.
     */
    private class CopyCost(val bytesPerToken: Double, val stateBytes: Long) {
        companion object {
            private const val HALF_LENGTH = (EngineModel.MIN_TOKENS + EngineModel.MAX_TOKENS) / 4
            val NONE = CopyCost(0.0, GenerationCosts.logBytes(HALF_LENGTH))

            fun of(mode: RecoveryMode) = CopyCost(
                CopyAge.mix(CopyPolicy.of(mode)).bytesPerToken,
                GenerationCosts.logBytes(HALF_LENGTH) + GenerationCosts.copyBytes(HALF_LENGTH),
            )
        }
    }

    /** A budget replenished by a ratio of the requests. */
    private class RatioBudget : AttemptBudget {
        private var remaining = BURST

        fun deposit(attempts: Double) {
            remaining = (remaining + attempts).coerceAtMost(BURST)
        }

        override fun tryAcquire(): Boolean {
            if (remaining < 1) return false
            remaining--
            return true
        }
    }
}
