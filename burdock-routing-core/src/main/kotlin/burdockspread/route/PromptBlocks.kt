/** Hashes of prompt prefixes, with which routing finds targets that have them cached. */
package burdockspread.route

import com.google.common.hash.Hashing

/**
 * Chained hashes of the blocks of a prompt: entry `i` identifies the prefix of `i + 1` full blocks.
 *
 * @property tokensPerBlock approximate number of tokens in one block.
 */
public class PromptBlocks private constructor(
    private val hashes: LongArray,
    public val tokensPerBlock: Int,
) {
    /** Number of full blocks. */
    public val size: Int get() = hashes.size

    /** Returns the hash of the prefix of [index] + 1 blocks. */
    public operator fun get(index: Int): Long = hashes[index]

    /** Creates [PromptBlocks]. */
    public companion object {
        /** A prompt without known blocks. */
        public val EMPTY: PromptBlocks = PromptBlocks(LongArray(0), 1)

        /** Length of the longest prefix that is hashed, in blocks. */
        public const val MAX_BLOCKS: Int = 64

        /** Characters in one block of a text prompt. */
        public const val BLOCK_CHARS: Int = 512

        /** Tokens in one block of a text prompt, assuming four characters per token. */
        public const val BLOCK_TOKENS: Int = BLOCK_CHARS / 4

        /**
         * Hashes the full blocks of [text]. Prompts of different [scope]s, for example of different
         * model versions or adapters, never match.
         */
        public fun ofText(text: CharSequence, scope: String): PromptBlocks {
            val count = minOf(text.length / BLOCK_CHARS, MAX_BLOCKS)
            if (count == 0) return EMPTY
            val hashes = LongArray(count)
            var previous = HASH.hashUnencodedChars(scope).asLong()
            for (index in 0 until count) {
                val block = text.subSequence(index * BLOCK_CHARS, (index + 1) * BLOCK_CHARS)
                previous = HASH.newHasher()
                    .putLong(previous)
                    .putUnencodedChars(block)
                    .hash()
                    .asLong()
                hashes[index] = previous
            }
            return PromptBlocks(hashes, BLOCK_TOKENS)
        }

        /** Wraps prefix hashes that are already chained. */
        public fun ofHashes(hashes: LongArray, tokensPerBlock: Int): PromptBlocks =
            PromptBlocks(hashes.copyOf(minOf(hashes.size, MAX_BLOCKS)), tokensPerBlock)

        private val HASH = Hashing.murmur3_128()
    }
}
