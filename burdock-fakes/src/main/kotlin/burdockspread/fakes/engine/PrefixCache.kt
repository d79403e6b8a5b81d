/** The prefix cache of the engine stand-in. */
package burdockspread.fakes.engine

/** Remembers the prefixes of prompts by blocks of [BLOCK_CHARS] characters, the latest used. */
internal class PrefixCache(private val capacity: Int) {
    private val blocks =
        object : LinkedHashMap<Int, Unit>(capacity, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Int, Unit>): Boolean =
                size > capacity
        }

    /** Number of characters of [prompt] found in the cache; afterwards all its blocks are in. */
    @Synchronized
    fun read(prompt: String): Int {
        val ends = (BLOCK_CHARS..prompt.length step BLOCK_CHARS).toList()
        val hashes = ends.map { prompt.substring(0, it).hashCode() }
        val hits = hashes.takeWhile { blocks[it] != null }.size
        hashes.forEach { blocks[it] = Unit }
        return hits * BLOCK_CHARS
    }

    private companion object {
        const val BLOCK_CHARS = 64
        const val LOAD_FACTOR = 0.75f
    }
}
