/** Compares both users' policies with the baseline as engines die more often. */
package burdockspread.bench.generation

import burdockspread.generation.AttemptBudget
import burdockspread.generation.TokenLatencyTracker
import burdockspread.journal.CopyPolicy
import burdockspread.recovery.RecoveryMode
import burdockspread.recovery.RecoveryPolicy
import kotlin.random.Random
import kotlin.time.Instant

/** The comparison over engine losses. */
internal object EngineLoss {
    /** Losses of one engine in an hour. */
    val DEATHS_PER_HOUR = listOf(1.0, 6.0, 20.0, 60.0)
    const val GENERATIONS = 300

    /** Bound on extra attempts as a share of all requests. */
    const val BUDGET_SHARE = 0.1
    private const val BURST = 50.0

    fun core(
        policy: RecoveryPolicy,
        deathsPerHour: Double,
        generations: Int = GENERATIONS,
    ): EngineStats {
        val engines = EngineModel(Random(EngineModel.SEED))
        val figures = EngineStats()
        val budget = ShareBudget()
        val times = TokenLatencyTracker()
        var now = Instant.fromEpochSeconds(0)
        repeat(generations) {
            budget.earn(BUDGET_SHARE * EngineModel.GENERATIONS_PER_LONG)
            val spec = EngineModel.spec(policy, engines.length())
            now = EngineRun(spec, deathsPerHour, engines, figures, budget, times, now).run()
        }
        return figures
    }

    fun naive(deathsPerHour: Double): EngineStats {
        val engines = EngineModel(Random(EngineModel.SEED))
        val figures = EngineStats()
        repeat(GENERATIONS) {
            NaiveRun(engines.length(), deathsPerHour, engines, figures).run()
        }
        return figures
    }

    fun print() {
        println("Engine losses: $GENERATIONS long generations for each row")
        println(
            "policy           deaths/h  losses  whole  resume p50  resume p99  twice/token  " +
                "read/token  extra/request  extra/loss  copied B/token  state B/open",
        )
        val fast = CopyCost.of(RecoveryMode.SIDE_BY_SIDE)
        val saving = CopyCost.of(RecoveryMode.SAVE_RESOURCES)
        DEATHS_PER_HOUR.forEach { rate ->
            row("latency first", rate, core(EngineModel.LATENCY_FIRST, rate), fast)
            row("resources first", rate, core(EngineModel.RESOURCES_FIRST, rate), saving)
            row("naive", rate, naive(rate), CopyCost.NONE)
        }
        println()
    }

    private fun row(name: String, rate: Double, figures: EngineStats, cost: CopyCost) = println(
        "%-16s %8.0f %7d %6d %8d ms %8d ms %12.4f %11.4f %14.4f %11.2f %15.1f %13d".format(
            name,
            rate,
            figures.losses,
            figures.completed,
            figures.p50.inWholeMilliseconds,
            figures.p99.inWholeMilliseconds,
            figures.generatedTwicePerToken,
            figures.readAgainPerToken,
            figures.extraPerRequest,
            figures.extraPerLoss,
            cost.bytesPerToken,
            cost.stateBytes,
        ),
    )

    /**
     * What copies cost, whether or not engines die.
     *
     * @property stateBytes log and copy of a long generation half way.
     */
    private class CopyCost(val bytesPerToken: Double, val stateBytes: Long) {
        companion object {
            private const val HALF_WAY = (EngineModel.SHORTEST + EngineModel.LONGEST) / 4
            val NONE = CopyCost(0.0, GenerationCosts.logBytes(HALF_WAY))

            fun of(mode: RecoveryMode) = CopyCost(
                CopyAge.mix(CopyPolicy.of(mode)).bytesPerToken,
                GenerationCosts.logBytes(HALF_WAY) + GenerationCosts.copyBytes(HALF_WAY),
            )
        }
    }

    /** A budget that grows by a share of the requests. */
    private class ShareBudget : AttemptBudget {
        private var left = BURST

        fun earn(attempts: Double) {
            left = (left + attempts).coerceAtMost(BURST)
        }

        override fun tryAcquire(): Boolean {
            if (left < 1) return false
            left--
            return true
        }
    }
}
