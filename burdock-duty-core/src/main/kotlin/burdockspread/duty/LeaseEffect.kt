/** Effects requested by leases, executed by the caller. */
package burdockspread.duty

import burdockspread.store.WriteCondition

/** Reason why a duty is no longer held. */
public enum class LossReason {
    /** The lease was not renewed in time. */
    EXPIRED,

    /** Another candidate holds it. */
    TAKEN,

    /** The lease was released. */
    RELEASED,
}

/** Action that the caller must execute for the lease of [duty]. */
public sealed interface LeaseEffect {
    /** Duty that the effect is about. */
    public val duty: Duty

    /** Reads the lease object. The result is passed to `onRead`. */
    public data class Read(override val duty: Duty) : LeaseEffect

    /** Writes with [writeId] through `ResolvingStore`. The result is passed to `onWritten`. */
    public data class Write(
        override val duty: Duty,
        public val record: LeaseRecord,
        public val condition: WriteCondition,
        public val writeId: String,
    ) : LeaseEffect

    /** Signals that the duty is now held. */
    public data class Acquired(override val duty: Duty, public val token: Long) : LeaseEffect

    /** Signals that the duty is no longer held and that all work for it must stop. */
    public data class Lost(
        override val duty: Duty,
        public val token: Long,
        public val reason: LossReason,
    ) : LeaseEffect
}
