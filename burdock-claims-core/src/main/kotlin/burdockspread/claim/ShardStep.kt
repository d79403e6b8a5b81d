/** Store operations requested by a shard. */
package burdockspread.claim

import burdockspread.store.ObjectKey
import burdockspread.store.WriteCondition
import kotlin.time.Instant

/** The next step of a [ShardStateMachine]. Its result must be reported before the next poll. */
public sealed interface ShardStep {
    /** Read the object; report the result to [ShardStateMachine.onRead]. */
    public data class Read(public val key: ObjectKey) : ShardStep

    /**
     * Create an object that is never replaced; report the result to [ShardStateMachine.onWrite].
     */
    public data class Create(
        public val key: ObjectKey,
        public val value: String,
        public val writeId: String,
    ) : ShardStep

    /** Replace the object; report the result to [ShardStateMachine.onWrite]. */
    public data class Write(
        public val key: ObjectKey,
        public val value: String,
        public val condition: WriteCondition,
        public val writeId: String,
    ) : ShardStep

    /** Delete the object once; report the end to [ShardStateMachine.onDelete]. */
    public data class Delete(
        public val key: ObjectKey,
        public val condition: WriteCondition.AtVersion,
    ) : ShardStep

    /** Nothing to do before [until], or, when null, before the next attempt or outcome. */
    public data class Idle(public val until: Instant?) : ShardStep
}
