/** The tokens of one generation, kept compactly. */
package burdockspread.generation

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/**
 * An append-only list of tokens as UTF-8 text. One thread appends; any thread reads.
 *
 * Readers share the one log and hold an offset each, so a slow reader takes no memory.
 */
public class TokenLog(tokens: List<String> = persistentListOf()) {
    @Volatile
    private var state = State(ByteArray(INITIAL_BYTES), IntArray(INITIAL_TOKENS), 0)

    init {
        append(tokens)
    }

    /** Number of tokens. */
    public val size: Int get() = state.size

    /** Memory of this log in bytes, spare room included. */
    public val memoryBytes: Long
        get() = state.let { it.text.size + Int.SIZE_BYTES.toLong() * it.ends.size + OVERHEAD_BYTES }

    /** Memory in bytes that adding [tokens] would take beyond the present. */
    public fun growthBytes(tokens: List<String>): Long {
        val now = state
        val text = tokens.sumOf { it.encodeToByteArray().size }
        val moreText = room(now.text.size, now.textBytes, text) - now.text.size
        val moreEnds = room(now.ends.size, now.size, tokens.size) - now.ends.size
        return moreText + Int.SIZE_BYTES.toLong() * moreEnds
    }

    /** Adds [tokens] at the end. */
    public fun append(tokens: List<String>) {
        if (tokens.isEmpty()) return
        val encoded = tokens.map { it.encodeToByteArray() }
        val old = state
        val text = old.text.withRoom(old.textBytes, encoded.sumOf { it.size })
        val ends = old.ends.withRoom(old.size, encoded.size)
        var end = old.textBytes
        encoded.forEachIndexed { i, bytes ->
            bytes.copyInto(text, end)
            end += bytes.size
            ends[old.size + i] = end
        }
        // Publishes the new tokens: readers of the old state never look beyond its size.
        state = State(text, ends, old.size + encoded.size)
    }

    /** Tokens from offset [from] up to, not including, [until]. */
    public fun slice(from: Int, until: Int = size): ImmutableList<String> {
        val now = state
        require(from in 0..until && until <= now.size) { "slice $from..$until of ${now.size}" }
        return (from until until).map { now.token(it) }.toPersistentList()
    }

    /** A new log with the first [length] tokens. */
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

        /** Capacity after [extra] elements were added to [used] ones. */
        fun room(capacity: Int, used: Int, extra: Int): Int =
            if (used + extra <= capacity) capacity else maxOf(used + extra, used + used / 2)

        fun ByteArray.withRoom(used: Int, extra: Int): ByteArray =
            if (used + extra <= size) this else copyOf(room(size, used, extra))

        fun IntArray.withRoom(used: Int, extra: Int): IntArray =
            if (used + extra <= size) this else copyOf(room(size, used, extra))
    }
}
