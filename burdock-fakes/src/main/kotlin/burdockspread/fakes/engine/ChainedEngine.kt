/** An engine whose tokens tell what they continue. */
package burdockspread.fakes.engine

/**
 * Generates tokens that name their offset, their engine run and their predecessor.
 *
 * Each [run] gives another continuation, like sampling with another seed, so a mixture of two runs
 * breaks the chain.
 */
public class ChainedEngine(private val run: Int, prefix: List<String>) {
    private val tokens = ArrayList(prefix)

    /** Number of tokens, the prefix included. */
    public val size: Int get() = tokens.size

    /** Generates [count] more tokens. */
    public fun next(count: Int): List<String> {
        val from = tokens.size
        repeat(count) { tokens += "${tokens.size}/$run/${hash(tokens.lastOrNull())}" }
        return tokens.subList(from, tokens.size).toList()
    }

    /** Tokens from offset [from] up to, not including, [until]. */
    public fun slice(from: Int, until: Int): List<String> = tokens.subList(from, until).toList()

    public companion object {
        /** Offset of the first token that does not continue its predecessor, or null for none. */
        public fun firstChainBreak(tokens: List<String>): Int? = tokens.indices.firstOrNull { i ->
            val (offset, _, previous) = tokens[i].split("/")
            offset != i.toString() || previous != hash(tokens.getOrNull(i - 1))
        }

        private fun hash(token: String?) = (token ?: "").hashCode().toUInt().toString(radix = 16)
    }
}
