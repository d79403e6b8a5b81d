/** Messages that targets publish about themselves, late and with gaps. */
package burdockspread.route

import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlin.time.Instant

/** Load of a target at [reportedAt], which lies before the time of arrival. */
public data class LoadReport(
    public val target: TargetId,
    public val reportedAt: Instant,
    /** Generations in the batch. */
    public val running: Int,
    /** Requests in the target's queue by priority level; the last entry counts all levels above. */
    public val queuedByLevel: ImmutableList<Int> = persistentListOf(),
    /** Prompt tokens in the target's queue. */
    public val waitingPromptTokens: Int = 0,
    /** Rate at which the target works through prompts, or null when it does not say. */
    public val promptTokensPerSecond: Double? = null,
) {
    /** Requests in the target's queue. */
    public val queued: Int get() = queuedByLevel.sum()
}

/** A change of a target's prefix cache. [sequence] rises by one with each event of the target. */
public sealed interface CacheEvent {
    /** Target whose cache changed. */
    public val target: TargetId

    /** Position in the target's events; a jump shows a gap. */
    public val sequence: Long

    /** The target holds the prefixes with these hashes. */
    public data class Stored(
        override val target: TargetId,
        override val sequence: Long,
        public val prefixes: ImmutableList<Long>,
    ) : CacheEvent

    /** The target dropped the prefixes with these hashes. */
    public data class Removed(
        override val target: TargetId,
        override val sequence: Long,
        public val prefixes: ImmutableList<Long>,
    ) : CacheEvent

    /** The target dropped everything, for example at a restart. */
    public data class Cleared(override val target: TargetId, override val sequence: Long) :
        CacheEvent
}
