/** The engines that the benchmark stands in for. */
package burdockspread.bench.generation

import burdockspread.generation.GenerationSpec
import burdockspread.id.ModelId
import burdockspread.recovery.RecoveryMode
import burdockspread.recovery.RecoveryPolicy
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How an engine fails under an attempt. */
internal enum class EngineFault { DIES, FREEZES }

/** Times and sizes of one model on one kind of engine, drawn from a seeded source. */
internal class EngineModel(private val random: Random) {
    /** Time between two tokens: 64 ms or less for 95 in 100. */
    fun gap(): Duration = MEDIAN_GAP * exp(random.gaussian() * GAP_SPREAD)

    /** Time until the next fault of an engine. */
    fun lifetime(deathsPerHour: Double): Duration = 1.hours * (exponential() / deathsPerHour)

    /** Kind of the next fault. */
    fun fault(): EngineFault =
        if (random.nextDouble() < SHARE_FROZEN) EngineFault.FREEZES else EngineFault.DIES

    /** Time for which a frozen engine is silent before it goes on. */
    fun freeze(): Duration = MEAN_FREEZE * exponential()

    /** Tokens of a prefix of [length] generated tokens that the chosen engine has to read again. */
    fun uncached(length: Int, preferCached: Boolean): Int {
        val hit = if (preferCached) HIT_PREFERRED else HIT_RANDOM
        return length + if (random.nextDouble() < hit) 0 else PROMPT
    }

    /** Time in the queue and for reading [uncached] tokens. */
    fun prefill(uncached: Int, preferCached: Boolean): Duration {
        val queue = if (preferCached) MEAN_QUEUE_PREFERRED else MEAN_QUEUE
        return queue * exponential() + PREFILL_PER_TOKEN * uncached
    }

    /** Length of a long answer: minutes at the median gap. */
    fun length(): Int = random.nextInt(SHORTEST, LONGEST)

    /** Time after which a caller whose connection broke is back. */
    fun reconnect(): Duration = RECONNECT + MEAN_RECONNECT * exponential()

    private fun exponential(): Double = -ln(1.0 - random.nextDouble())

    companion object {
        const val SEED = 20_261_204

        /** Tokens of a prompt. */
        const val PROMPT = 500

        /** Generations for each long one: 3% run for minutes. */
        const val GENERATIONS_PER_LONG = 33
        val MEDIAN_GAP = 40.milliseconds
        const val GAP_SPREAD = 0.28
        val PREFILL_PER_TOKEN = 150.microseconds
        val MEAN_QUEUE = 120.milliseconds
        val MEAN_QUEUE_PREFERRED = 160.milliseconds
        val RECONNECT = 100.milliseconds
        val MEAN_RECONNECT = 200.milliseconds
        val MEAN_FREEZE = 5.seconds
        const val SHARE_FROZEN = 0.4
        const val HIT_PREFERRED = 0.7
        const val HIT_RANDOM = 0.2
        const val SHORTEST = 1_500
        const val LONGEST = 6_000
        val MODEL = ModelId("model")

        /** Škarjevec: latency first. */
        val LATENCY_FIRST = RecoveryPolicy(
            mode = RecoveryMode.SIDE_BY_SIDE,
            stallMultiple = 6.0,
            minStall = 250.milliseconds,
            maxStall = 1.seconds,
            maxAttempts = 64,
        )

        /** Softweave: resources first. */
        val RESOURCES_FIRST = RecoveryPolicy(
            mode = RecoveryMode.SAVE_RESOURCES,
            stallMultiple = 6.0,
            minStall = 500.milliseconds,
            maxStall = 1.5.seconds,
            maxAttempts = 64,
        )

        fun spec(policy: RecoveryPolicy, length: Int): GenerationSpec =
            GenerationSpec(MODEL, length, policy, firstTokenTimeout = 2.seconds)

        private fun Random.gaussian(): Double = List(12) { nextDouble() }.sum() - 6.0
    }
}
