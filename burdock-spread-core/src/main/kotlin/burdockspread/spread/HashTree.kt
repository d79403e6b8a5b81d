/** Hash tree over the names and versions of the entries of one kind. */
package burdockspread.spread

/**
 * Tree with [FAN_OUT] children per node. The hash of a node is the sum of the hashes of the entries
 * below it. Updates and reads take constant time.
 */
public class HashTree internal constructor() {
    private val hashes = Array(MAX_DEPTH + 1) { LongArray(width(it)) }
    private val counts = Array(MAX_DEPTH + 1) { IntArray(width(it)) }

    internal fun hash(depth: Int, index: Int): Long = hashes[depth][index]

    internal fun count(depth: Int, index: Int): Int = counts[depth][index]

    internal fun add(bucket: Int, entryHash: Long) = update(bucket, entryHash, 1)

    internal fun remove(bucket: Int, entryHash: Long) = update(bucket, -entryHash, -1)

    private fun update(bucket: Int, delta: Long, count: Int) {
        for (depth in 0..MAX_DEPTH) {
            val index = bucket / (BUCKETS / width(depth))
            hashes[depth][index] += delta
            counts[depth][index] += count
        }
    }

    public companion object {
        /** Number of children of a node. */
        public const val FAN_OUT: Int = 16

        /** Depth of the leaf buckets; the root has depth 0. */
        public const val MAX_DEPTH: Int = 2

        internal const val BUCKETS: Int = FAN_OUT * FAN_OUT

        internal fun width(depth: Int): Int {
            var width = 1
            repeat(depth) { width *= FAN_OUT }
            return width
        }

        /** Returns the indices of the leaf buckets below a node. */
        internal fun buckets(depth: Int, index: Int): IntRange {
            val size = BUCKETS / width(depth)
            return index * size until (index + 1) * size
        }
    }
}
