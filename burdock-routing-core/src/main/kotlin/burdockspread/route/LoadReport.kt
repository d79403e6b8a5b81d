/** Messages that targets publish about themselves; they may be delayed or lost. */
package burdockspread.route

import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlin.time.Instant

/** Load of a target at [reportedAt], which is earlier than the time of arrival. */
public data class LoadReport(
    public val target: TargetId,
    public val reportedAt: Instant,
    /** Number of generations in the batch. */
    public val running: Int,
    /** Requests in the target's queue by priority level; the last entry includes all above it. */
    public val queuedByLevel: ImmutableList<Int> = persistentListOf(),
    /** Prompt tokens in the target's queue. */
    public val waitingPromptTokens: Int = 0,
    /** The target's prefill rate, or null if the target does not report it. */
    public val promptTokensPerSecond: Double? = null,
) {
    /** Total number of requests in the target's queue. */
    public val queued: Int get() = queuedByLevel.sum()
}

/** A change of a target's prefix cache. [sequence] increases by one with each event. */
public sealed interface CacheEvent {
    /** Target whose cache changed. */
    public val target: TargetId

    /** Sequence number of the event; a jump means that events were lost. */
    public val sequence: Long

    /** The target now caches the prefixes with these hashes. */
    public data class Stored(
        override val target: TargetId,
        override val sequence: Long,
        public val prefixes: ImmutableList<Long>,
    ) : CacheEvent

    /** The target evicted the prefixes with these hashes. */
    public data class Removed(
        override val target: TargetId,
        override val sequence: Long,
        public val prefixes: ImmutableList<Long>,
    ) : CacheEvent

    /** The target evicted its whole cache, for example at a restart. */
    public data class Cleared(override val target: TargetId, override val sequence: Long) :
        CacheEvent
}
