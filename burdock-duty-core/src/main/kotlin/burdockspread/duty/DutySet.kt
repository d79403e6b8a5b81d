/** All duties that a host takes part in. */
package burdockspread.duty

import burdockspread.store.ResolvedWrite
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Instant

/**
 * One host's duties. Rendezvous hashing over the candidates spreads them evenly: the first in a
 * duty's order takes it, the second stands by, the others leave the store alone. Not thread-safe
 * except for [held] and [snapshot].
 */
public interface DutySet {
    /** The leases held, for readers on any thread. Check each deadline, or ask [held]. */
    public val snapshot: AtomicReference<ImmutableMap<Duty, HeldLease>>

    /** The lease of [duty] if it is held at [now], else null. */
    public fun held(duty: Duty, now: Instant): HeldLease?

    /** Sets the duties there are. A duty that is no longer listed is handed over. */
    public fun onDuties(duties: ImmutableList<Duty>)

    /**
     * Sets the live hosts. Duties of holders that left the list are looked at at once. While the
     * own host is not among them it hands over what it holds.
     */
    public fun onCandidates(candidates: ImmutableList<Candidate>)

    /** Does what is due. Call it every [LeaseSettings.retryDelay]. */
    public fun tick(now: Instant): ImmutableList<LeaseEffect>

    /** Takes the result of a [LeaseEffect.Read]; each needs exactly one. */
    public fun onRead(duty: Duty, read: LeaseRead, now: Instant): ImmutableList<LeaseEffect>

    /** Takes the result of the [LeaseEffect.Write] with [writeId]; each needs exactly one. */
    public fun onWritten(
        duty: Duty,
        writeId: String,
        result: ResolvedWrite,
        now: Instant,
    ): ImmutableList<LeaseEffect>

    /** Makes the duties of one process. */
    public fun interface Factory {
        /** Makes a set that knows no duty and no candidate. */
        public fun create(self: CandidateId, settings: LeaseSettings): DutySet
    }

    public companion object {
        /** Makes sets that are kept in memory. */
        public val factory: Factory = Factory { self, settings -> RealDutySet(self, settings) }
    }
}
