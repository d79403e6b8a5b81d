package burdockspread.generation

import kotlin.test.assertEquals

/**
 * Generates tokens that name their offset, their engine run and their predecessor. Each run gives
 * another continuation, so a mixture of two runs breaks the chain.
 */
class ChainedEngine(private val run: Int, prefix: List<String>) {
    private val tokens = ArrayList(prefix)
    val size get() = tokens.size

    fun next(count: Int): List<String> {
        val from = tokens.size
        repeat(count) { tokens += "${tokens.size}/$run/${hash(tokens.lastOrNull())}" }
        return tokens.subList(from, tokens.size).toList()
    }

    fun slice(from: Int, until: Int): List<String> = tokens.subList(from, until).toList()

    companion object {
        fun assertChained(tokens: List<String>, hint: String = "") {
            tokens.forEachIndexed { i, token ->
                val (offset, _, previous) = token.split("/")
                assertEquals(i.toString(), offset, "offset of $token $hint")
                assertEquals(hash(tokens.getOrNull(i - 1)), previous, "predecessor of $token $hint")
            }
        }

        private fun hash(token: String?) = (token ?: "").hashCode().toUInt().toString(16)
    }
}
