/** What a shard wants from the store next. */
package burdockspread.claim

import burdockspread.store.ObjectKey
import burdockspread.store.WriteCondition
import kotlin.time.Instant

/** The next step of a [ShardStateMachine], whose result must be returned before the next poll. */
public sealed interface ShardStep {
    /** Read the object; the result goes to [ShardStateMachine.onRead]. */
    public data class Read(public val key: ObjectKey) : ShardStep

    /** Create an object that is never replaced; the result goes to [ShardStateMachine.onWrite]. */
    public data class Create(
        public val key: ObjectKey,
        public val value: String,
        public val writeId: String,
    ) : ShardStep

    /** Replace the object; the result goes to [ShardStateMachine.onWrite]. */
    public data class Write(
        public val key: ObjectKey,
        public val value: String,
        public val condition: WriteCondition,
        public val writeId: String,
    ) : ShardStep

    /** Delete the object once; the result goes to [ShardStateMachine.onDelete]. */
    public data class Delete(
        public val key: ObjectKey,
        public val condition: WriteCondition.AtVersion,
    ) : ShardStep

    /** Nothing to do before [until], or before the next ask or outcome when it is null. */
    public data class Idle(public val until: Instant?) : ShardStep
}
