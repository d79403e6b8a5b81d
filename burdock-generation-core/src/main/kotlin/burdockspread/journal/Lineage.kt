/** Origin of each token of a generation. */
package burdockspread.journal

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** Tokens from offset [start] until the next segment came from [branch]. */
public data class Segment(public val branch: BranchId, public val start: Int)

/**
 * The continuations that a generation's tokens came from, in order.
 *
 * Two journals whose lineages agree up to an offset hold the same tokens up to that offset. This
 * holds without any coordination between hosts, so both sides of a network partition may continue a
 * generation.
 */
public data class Lineage(public val segments: PersistentList<Segment>) {
    init {
        require(segments.isNotEmpty()) { "a lineage needs at least one segment" }
    }

    /** The latest continuation. */
    public val current: BranchId get() = segments.last().branch

    /** Whether no further takeover can be added. */
    public val isFull: Boolean get() = segments.size >= MAX_SEGMENTS

    /** Returns the lineage of a continuation by [branch] from offset [start] on. */
    public fun fork(branch: BranchId, start: Int): Lineage {
        val kept = segments.filterIndexed { i, segment -> i == 0 || segment.start <= start }
        return Lineage(persistentListOf<Segment>().addAll(kept).add(Segment(branch, start)))
    }

    /** Returns the lineage of the first [length] tokens. */
    public fun upTo(length: Int): Lineage =
        Lineage(segments.removeAll { it.start > length && it != segments.first() })

    /** Returns how many of the first [length] tokens a journal with lineage [other] also has. */
    public fun commonLength(length: Int, other: Lineage): Int {
        var commonTokens = 0
        for (i in segments.indices) {
            if (segments[i] != other.segments.getOrNull(i)) break
            commonTokens = minOf(endOf(i, length), other.endOf(i, Int.MAX_VALUE))
        }
        return commonTokens
    }

    /**
     * Whether a caller that holds [offset] tokens of [branch] holds a prefix of the first [length]
     * tokens of this lineage.
     */
    public fun containsPrefix(branch: BranchId, offset: Int, length: Int): Boolean {
        val index = segments.indexOfLast { it.branch == branch }
        return index >= 0 && offset <= endOf(index, length)
    }

    private fun endOf(index: Int, length: Int): Int =
        (segments.getOrNull(index + 1)?.start ?: length).coerceAtMost(length)

    public companion object {
        /** Maximum number of segments that a lineage records. */
        public const val MAX_SEGMENTS: Int = 64

        /** Returns the lineage of a generation that [branch] starts. */
        public fun of(branch: BranchId): Lineage = Lineage(persistentListOf(Segment(branch, 0)))
    }
}
