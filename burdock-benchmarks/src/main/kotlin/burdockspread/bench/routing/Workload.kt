/** Synthetic workload with shared prompt prefixes. */
package burdockspread.bench.routing

import burdockspread.route.PromptBlocks
import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random

/** One request of the workload. */
internal data class SimRequest(
    val id: Int,
    val prompt: PromptBlocks,
    val promptTokens: Int,
    val outputTokens: Int,
)

/** Draws requests: 70% start with one of 300 shared prompts of skewed popularity. */
internal class Workload(seed: Long) {
    private val random = Random(seed)
    private val sharedPrompts = List(SHARED_PROMPTS) { randomBlocks(random.nextInt(16, 48)) }
    private var count = 0

    /** Returns the seconds until the next arrival at a rate of [perSecond]. */
    fun interarrivalSeconds(perSecond: Double): Double = -ln(1 - random.nextDouble()) / perSecond

    fun next(): SimRequest {
        val prefix = if (random.nextDouble() < SHARED_PROMPT_RATIO) popular() else randomBlocks(4)
        val unique = random.nextInt(32, 256)
        val output = (-ln(1 - random.nextDouble()) * MEAN_OUTPUT_TOKENS).toInt().coerceIn(8, 600)
        val blocks = PromptBlocks.ofHashes(prefix, PromptBlocks.BLOCK_TOKENS)
        return SimRequest(count++, blocks, prefix.size * PromptBlocks.BLOCK_TOKENS + unique, output)
    }

    private fun popular(): LongArray =
        sharedPrompts[(SHARED_PROMPTS * random.nextDouble().pow(POPULARITY_EXPONENT)).toInt()]

    private fun randomBlocks(blocks: Int) = LongArray(blocks) { random.nextLong() }

    companion object {
        const val SHARED_PROMPTS = 300
        const val SHARED_PROMPT_RATIO = 0.7
        const val POPULARITY_EXPONENT = 2.0
        const val MEAN_OUTPUT_TOKENS = 120.0
    }
}
