/** Requests with shared prompt prefixes. */
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

/** Draws requests: most begin with one of a few hundred shared prompts of uneven popularity. */
internal class Workload(seed: Long) {
    private val random = Random(seed)
    private val shared = List(SHARED_PROMPTS) { chain(random.nextInt(16, 48)) }
    private var count = 0

    /** Time until the next arrival at [perSecond]. */
    fun gap(perSecond: Double): Double = -ln(1 - random.nextDouble()) / perSecond

    fun next(): SimRequest {
        val prefix = if (random.nextDouble() < SHARED_PART) popular() else chain(4)
        val own = random.nextInt(32, 256)
        val output = (-ln(1 - random.nextDouble()) * MEAN_OUTPUT).toInt().coerceIn(8, 600)
        val blocks = PromptBlocks.ofHashes(prefix, PromptBlocks.BLOCK_TOKENS)
        return SimRequest(count++, blocks, prefix.size * PromptBlocks.BLOCK_TOKENS + own, output)
    }

    private fun popular(): LongArray =
        shared[(SHARED_PROMPTS * random.nextDouble().pow(POPULARITY)).toInt()]

    private fun chain(blocks: Int) = LongArray(blocks) { random.nextLong() }

    companion object {
        const val SHARED_PROMPTS = 300
        const val SHARED_PART = 0.7
        const val POPULARITY = 2.0
        const val MEAN_OUTPUT = 120.0
    }
}
