/** Fake token generator whose tokens identify their predecessor. */
package burdockspread.fakes.engine

/**
 * Generates tokens that carry their offset, their engine runId and the hash of their predecessor.
 *
 * Each [runId] gives a different continuation, like sampling with another seed, so that mixing the
 * tokens of two runs breaks the chain.
 */
public class ChainedEngine(private val runId: Int, prefix: List<String>) {
    private val tokens = ArrayList(prefix)

    /** Number of tokens including the prefix. */
    public val size: Int get() = tokens.size

    /** Generates [count] more tokens. */
    public fun next(count: Int): List<String> {
        val from = tokens.size
        repeat(count) { tokens += "${tokens.size}/$runId/${hash(tokens.lastOrNull())}" }
        return tokens.subList(from, tokens.size).toList()
    }

    /** Returns the tokens from offset [from], inclusive, to [until], exclusive. */
    public fun slice(from: Int, until: Int): List<String> = tokens.subList(from, until).toList()

    public companion object {
        /** Returns the offset of the first token that does not follow its predecessor, or null. */
        public fun firstChainBreak(tokens: List<String>): Int? = tokens.indices.firstOrNull { i ->
            val (offset, _, previous) = tokens[i].split("/")
            offset != i.toString() || previous != hash(tokens.getOrNull(i - 1))
        }

        private fun hash(token: String?) = (token ?: "").hashCode().toUInt().toString(radix = 16)
    }
}
