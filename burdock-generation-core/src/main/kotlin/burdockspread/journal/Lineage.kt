/** Which continuation each token of a generation came from. */
package burdockspread.journal

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** Tokens from offset [start] on, up to the next segment, came from [branch]. */
public data class Segment(public val branch: BranchId, public val start: Int)

/**
 * The continuations that a generation's tokens came from, in order.
 *
 * Two journals whose lineages agree up to an offset hold the same tokens up to that offset. This
 * holds without any agreement between hosts, so both sides of a cut may continue a generation.
 */
public data class Lineage(public val segments: PersistentList<Segment>) {
    init {
        require(segments.isNotEmpty()) { "a lineage has at least one segment" }
    }

    /** The latest continuation. */
    public val current: BranchId get() = segments.last().branch

    /** Whether no further takeover may be added. */
    public val isFull: Boolean get() = segments.size >= MAX_SEGMENTS

    /** The lineage of a continuation by [branch] from offset [start] on. */
    public fun fork(branch: BranchId, start: Int): Lineage {
        val kept = segments.filterIndexed { i, segment -> i == 0 || segment.start <= start }
        return Lineage(persistentListOf<Segment>().addAll(kept).add(Segment(branch, start)))
    }

    /** The lineage of the first [length] tokens. */
    public fun upTo(length: Int): Lineage =
        Lineage(segments.removeAll { it.start > length && it != segments.first() })

    /** Number of the first [length] tokens that a journal with lineage [other] also has. */
    public fun commonLength(length: Int, other: Lineage): Int {
        var common = 0
        for (i in segments.indices) {
            if (segments[i] != other.segments.getOrNull(i)) break
            common = minOf(endOf(i, length), other.endOf(i, Int.MAX_VALUE))
        }
        return common
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
        /** Most takeovers that a lineage records. */
        public const val MAX_SEGMENTS: Int = 64

        /** The lineage of a generation that [branch] begins. */
        public fun of(branch: BranchId): Lineage = Lineage(persistentListOf(Segment(branch, 0)))
    }
}
