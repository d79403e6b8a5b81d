/** Leases of all duties for which a host is a candidate. */
package burdockspread.duty

import burdockspread.store.ResolvedWrite
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Instant

/**
 * Acquires and renews the leases of one host's duties.
 *
 * Rendezvous hashing over the candidates distributes the duties evenly: the first candidate of a
 * duty acquires it, the second is its backup, and the others do not access the store. Not
 * thread-safe except for [held] and [snapshot].
 */
public interface DutySet {
    /** Held leases, readable on any thread. Readers check the deadline or call [held]. */
    public val snapshot: AtomicReference<ImmutableMap<Duty, HeldLease>>

    /** Returns the lease of [duty] if it is held at [now], or null. */
    public fun held(duty: Duty, now: Instant): HeldLease?

    /** Sets the current duties. A held duty that is not in [duties] is released. */
    public fun onDuties(duties: ImmutableList<Duty>)

    /**
     * Sets the live hosts. The leases of holders that left the list are read immediately. While
     * the own host is not in the list, it releases the duties that it holds.
     */
    public fun onCandidates(candidates: ImmutableList<Candidate>)

    /** Performs all due actions. Must be called every [LeaseSettings.retryDelay]. */
    public fun tick(now: Instant): ImmutableList<LeaseEffect>

    /** Processes the result of a [LeaseEffect.Read]. Must be called exactly once per effect. */
    public fun onRead(duty: Duty, read: LeaseRead, now: Instant): ImmutableList<LeaseEffect>

    /** Processes the result of the [LeaseEffect.Write] with [writeId], exactly once per effect. */
    public fun onWritten(
        duty: Duty,
        writeId: String,
        result: ResolvedWrite,
        now: Instant,
    ): ImmutableList<LeaseEffect>

    /** Creates the [DutySet] of a process. */
    public fun interface Factory {
        /** Creates a set without duties and candidates. */
        public fun create(self: CandidateId, settings: LeaseSettings): DutySet
    }

    public companion object {
        /** Creates sets that are kept in memory. */
        public val factory: Factory = Factory { self, settings -> RealDutySet(self, settings) }
    }
}
