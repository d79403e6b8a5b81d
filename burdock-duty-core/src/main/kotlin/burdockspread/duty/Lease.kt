/** One candidate's part in the lease of one duty. */
package burdockspread.duty

import burdockspread.store.ResolvedWrite
import kotlinx.collections.immutable.ImmutableList
import kotlin.time.Instant

/**
 * A lease that is held now.
 *
 * @property token fencing token to send with each order.
 * @property deadline time by this host's clock at which the holder stops.
 */
public data class HeldLease(public val token: Long, public val deadline: Instant)

/** What a candidate wants of a lease. */
internal enum class Candidacy {
    /** First in line: takes the lease as soon as it is free. */
    FIRST,

    /** Next in line: takes it when nobody has for a whole wait. */
    BACKUP,

    /** Keeps the lease while it holds it and does not ask for it otherwise. */
    KEEP,

    /** Gives the lease back. */
    NONE,
    ;

    /** Whether the candidate tries to get the lease. */
    val asks: Boolean get() = this == FIRST || this == BACKUP
}

/**
 * Acquires, renews and releases the lease of one duty. Not thread-safe except for [held].
 *
 * The holder counts its time from before a write was sent; a candidate takes over only after it saw
 * one version of the object unchanged for the whole duration by its own clock. No two clocks are
 * compared, only their rates matter.
 */
internal interface Lease {
    /** The lease if it is held at [now], else null. Ask right before each act of the duty. */
    fun held(now: Instant): HeldLease?

    /** Holder that was last seen in the store, or null. */
    val seenHolder: String?

    /** Whether nothing is held and no answer is awaited. */
    val isIdle: Boolean

    /** Does what is due. Call it at least every [LeaseSettings.retryDelay]. */
    fun tick(candidacy: Candidacy, now: Instant): ImmutableList<LeaseEffect>

    /** Takes the result of a [LeaseEffect.Read]. */
    fun onRead(read: LeaseRead, now: Instant): ImmutableList<LeaseEffect>

    /** Takes the result of the [LeaseEffect.Write] with [writeId]. */
    fun onWritten(writeId: String, result: ResolvedWrite, now: Instant): ImmutableList<LeaseEffect>

    /** Reads the object at the next tick, for example because its holder seems to be gone. */
    fun nudge()
}
