/** Compact storage for the tokens of one generation. */
package burdockspread.generation

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/**
 * An append-only list of tokens as UTF-8 text. One thread appends; any thread reads.
 *
 * Readers share the log and keep an offset each, so a slow reader takes no memory.
 */
public class TokenLog(tokens: List<String> = persistentListOf()) {
    @Volatile
    private var state = State(ByteArray(INITIAL_BYTES), IntArray(INITIAL_TOKENS), 0)

    init {
        append(tokens)
    }

    /** Number of tokens. */
    public val size: Int get() = state.size

    /** Memory of this log in bytes, including unused capacity. */
    public val memoryBytes: Long
        get() = state.let { it.text.size + Int.SIZE_BYTES.toLong() * it.ends.size + OVERHEAD_BYTES }

    /** Returns the additional memory in bytes that appending [tokens] would take. */
    public fun growthBytes(tokens: List<String>): Long {
        val current = state
        val text = tokens.sumOf { it.encodeToByteArray().size }
        val moreText =
            grownCapacity(current.text.size, current.textBytes, text) - current.text.size
        val moreEnds =
            grownCapacity(current.ends.size, current.size, tokens.size) - current.ends.size
        return moreText + Int.SIZE_BYTES.toLong() * moreEnds
    }

    /** Appends [tokens]. */
    public fun append(tokens: List<String>) {
        if (tokens.isEmpty()) return
        val encoded = tokens.map { it.encodeToByteArray() }
        val old = state
        val text = old.text.withCapacity(old.textBytes, encoded.sumOf { it.size })
        val ends = old.ends.withCapacity(old.size, encoded.size)
        var end = old.textBytes
        encoded.forEachIndexed { i, bytes ->
            bytes.copyInto(text, end)
            end += bytes.size
            ends[old.size + i] = end
        }
        // Publishes the new tokens: readers of the old state never read beyond its size.
        state = State(text, ends, old.size + encoded.size)
    }

    /** Returns the tokens from offset [from] until [until], exclusive. */
    public fun slice(from: Int, until: Int = size): ImmutableList<String> {
        val current = state
        require(from in 0..until && until <= current.size) {
            "slice $from..$until is outside a log of ${current.size} tokens"
        }
        return (from until until).map { current.token(it) }.toPersistentList()
    }

    /** Returns a new log with the first [length] tokens. */
    public fun prefix(length: Int): TokenLog = TokenLog(slice(0, length))

    private class State(val text: ByteArray, val ends: IntArray, val size: Int) {
        val textBytes: Int get() = if (size == 0) 0 else ends[size - 1]

        fun token(index: Int): String {
            val start = if (index == 0) 0 else ends[index - 1]
            return text.decodeToString(start, ends[index])
        }
    }

    private companion object {
        const val INITIAL_BYTES = 128
        const val INITIAL_TOKENS = 32
        const val OVERHEAD_BYTES = 96

        /** Returns the capacity after adding [extra] elements to [used] ones. */
        fun grownCapacity(capacity: Int, used: Int, extra: Int): Int =
            if (used + extra <= capacity) capacity else maxOf(used + extra, used + used / 2)

        fun ByteArray.withCapacity(used: Int, extra: Int): ByteArray =
            if (used + extra <= size) this else copyOf(grownCapacity(size, used, extra))

        fun IntArray.withCapacity(used: Int, extra: Int): IntArray =
            if (used + extra <= size) this else copyOf(grownCapacity(size, used, extra))
    }
}
