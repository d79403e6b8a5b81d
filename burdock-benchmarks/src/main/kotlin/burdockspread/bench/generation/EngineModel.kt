/** Stochastic model of the engines that the benchmarks simulate. */
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

/** Failure mode of an engine during an attempt. */
internal enum class EngineFault { DIES, FREEZES }

/** Durations and sizes of one model on one kind of engine, drawn from a seeded [random]. */
internal class EngineModel(private val random: Random) {
    /** Returns the time between two tokens; the 95th percentile is at most 64 ms. */
    fun tokenInterval(): Duration = MEDIAN_TOKEN_INTERVAL * exp(random.gaussian() * INTERVAL_SIGMA)

    /** Returns the time until the next failure of an engine. */
    fun uptime(failuresPerHour: Double): Duration = 1.hours * (exponential() / failuresPerHour)

    /** Returns the kind of the next failure. */
    fun fault(): EngineFault =
        if (random.nextDouble() < FREEZE_RATIO) EngineFault.FREEZES else EngineFault.DIES

    /** Returns how long a frozen engine sends nothing before it continues. */
    fun freezeDuration(): Duration = MEAN_FREEZE * exponential()

    /** Returns how many tokens the engine prefills to continue after [length] generated tokens. */
    fun uncachedTokens(length: Int, preferCached: Boolean): Int {
        val hit = if (preferCached) PREFERRED_HIT_RATE else RANDOM_HIT_RATE
        return length + if (random.nextDouble() < hit) 0 else PROMPT_TOKENS
    }

    /** Returns the queueing time plus the prefill time of [uncachedTokens] tokens. */
    fun prefill(uncachedTokens: Int, preferCached: Boolean): Duration {
        val queue = if (preferCached) MEAN_QUEUE_PREFERRED else MEAN_QUEUE
        return queue * exponential() + PREFILL_PER_TOKEN * uncachedTokens
    }

    /** Returns the length of a long output, which takes minutes at the median interval. */
    fun length(): Int = random.nextInt(MIN_TOKENS, MAX_TOKENS)

    /** Returns the time until a caller reconnects after its connection broke. */
    fun reconnect(): Duration = MIN_RECONNECT + MEAN_RECONNECT * exponential()

    private fun exponential(): Double = -ln(1.0 - random.nextDouble())

    companion object {
        const val SEED = 20_261_204

        /** Tokens of a prompt. */
        const val PROMPT_TOKENS = 500

        /** Requests per long generation: 3% run for minutes. */
        const val REQUESTS_PER_LONG = 33
        val MEDIAN_TOKEN_INTERVAL = 40.milliseconds
        const val INTERVAL_SIGMA = 0.28
        val PREFILL_PER_TOKEN = 150.microseconds
        val MEAN_QUEUE = 120.milliseconds
        val MEAN_QUEUE_PREFERRED = 160.milliseconds
        val MIN_RECONNECT = 100.milliseconds
        val MEAN_RECONNECT = 200.milliseconds
        val MEAN_FREEZE = 5.seconds
        const val FREEZE_RATIO = 0.4
        const val PREFERRED_HIT_RATE = 0.7
        const val RANDOM_HIT_RATE = 0.2
        const val MIN_TOKENS = 1_500
        const val MAX_TOKENS = 6_000
        val MODEL = ModelId("model")

        /** Recovery policy of Škarjevec: latency first. */
        val LATENCY_FIRST = RecoveryPolicy(
            mode = RecoveryMode.SIDE_BY_SIDE,
            stallMultiple = 6.0,
            minStall = 250.milliseconds,
            maxStall = 1.seconds,
            maxAttempts = 64,
        )

        /** Recovery policy of Softweave: resources first. */
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
