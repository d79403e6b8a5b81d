/** Effects of leases, carried out by the shell. */
package burdockspread.duty

import burdockspread.store.WriteCondition

/** Why a duty is no longer held. */
public enum class LossReason {
    /** The lease was not renewed in time. */
    EXPIRED,

    /** Another candidate holds it. */
    TAKEN,

    /** It was handed over. */
    RELEASED,
}

/** What the shell has to do for the lease of [duty]. */
public sealed interface LeaseEffect {
    /** The duty concerned. */
    public val duty: Duty

    /** Read the lease object and give the result to `onRead`. */
    public data class Read(override val duty: Duty) : LeaseEffect

    /** Write through `ResolvingStore` under [writeId] and give the result to `onWritten`. */
    public data class Write(
        override val duty: Duty,
        public val record: LeaseRecord,
        public val condition: WriteCondition,
        public val writeId: String,
    ) : LeaseEffect

    /** The duty is held from now on. */
    public data class Acquired(override val duty: Duty, public val token: Long) : LeaseEffect

    /** The duty is no longer held: stop what is done for it. */
    public data class Lost(
        override val duty: Duty,
        public val token: Long,
        public val reason: LossReason,
    ) : LeaseEffect
}
