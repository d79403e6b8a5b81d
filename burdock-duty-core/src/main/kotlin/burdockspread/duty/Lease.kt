/** Lease of one duty, from the point of view of one candidate. */
package burdockspread.duty

import burdockspread.store.ResolvedWrite
import kotlinx.collections.immutable.ImmutableList
import kotlin.time.Instant

/**
 * A lease that this host holds.
 *
 * @property token fencing token to send with each order.
 * @property deadline time by this host's clock at which the holder must stop.
 */
public data class HeldLease(public val token: Long, public val deadline: Instant)

/** Role of a candidate for a lease. */
internal enum class Candidacy {
    /** Primary candidate: acquires the lease as soon as it is free. */
    FIRST,

    /** Secondary candidate: acquires the lease if it stays unchanged for a full wait period. */
    BACKUP,

    /** Renews the lease while holding it and does not acquire it otherwise. */
    KEEP,

    /** Releases the lease. */
    NONE,
    ;

    /** Whether the candidate tries to acquire the lease. */
    val isAcquiring: Boolean get() = this == FIRST || this == BACKUP
}

/**
 * Acquires, renews and releases the lease of one duty. Not thread-safe except for [held].
 *
 * The holder measures its period from before a write was sent. A candidate takes over only after it
 * has seen one version of the object unchanged for the full duration by its own clock. Clocks are
 * never compared with each other; only their rates matter.
 */
internal interface Lease {
    /** Returns the lease if it is held at [now]. Must be checked right before each action. */
    fun held(now: Instant): HeldLease?

    /** Holder that was last read from the store, or null. */
    val lastSeenHolder: String?

    /** Whether the lease is not held and no result is pending. */
    val isIdle: Boolean

    /** Performs all due actions. Must be called at least every [LeaseSettings.retryDelay]. */
    fun tick(candidacy: Candidacy, now: Instant): ImmutableList<LeaseEffect>

    /** Processes the result of a [LeaseEffect.Read]. */
    fun onRead(read: LeaseRead, now: Instant): ImmutableList<LeaseEffect>

    /** Processes the result of the [LeaseEffect.Write] with [writeId]. */
    fun onWritten(writeId: String, result: ResolvedWrite, now: Instant): ImmutableList<LeaseEffect>

    /** Schedules a read for the next tick, for example because the holder seems to be gone. */
    fun scheduleRead()
}
