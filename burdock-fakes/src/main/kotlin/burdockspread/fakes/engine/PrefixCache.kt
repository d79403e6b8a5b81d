/** Prefix cache of the fake engine. */
package burdockspread.fakes.engine

/** LRU cache of [capacity] prompt prefixes, in blocks of [BLOCK_CHARS] characters. */
internal class PrefixCache(private val capacity: Int) {
    private val blocks =
        object : LinkedHashMap<Int, Unit>(capacity, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Int, Unit>): Boolean =
                size > capacity
        }

    /** Returns the length of the cached prefix of [prompt] and caches all blocks of [prompt]. */
    @Synchronized
    fun matchAndInsert(prompt: String): Int {
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
