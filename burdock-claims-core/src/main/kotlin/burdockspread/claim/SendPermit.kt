/** The right to send one call. */
package burdockspread.claim

import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Instant

/**
 * The right to send one claimed call once. Threads share it safely.
 *
 * @property sendBefore time by this process's clock after which the call may not be sent any more.
 */
public class SendPermit internal constructor(
    public val claimId: ClaimId,
    internal val key: KeyHash,
    public val sendBefore: Instant,
) {
    private enum class State { OPEN, SENDING, CLOSED }

    private val state = AtomicReference(State.OPEN)

    /** Takes the right to send. True at most once, only in time, and never after [close]. */
    public fun trySend(now: Instant): Boolean =
        now <= sendBefore && state.compareAndSet(State.OPEN, State.SENDING)

    /** Ends the permit. Called before an outcome is recorded, so nothing is sent after it. */
    internal fun close(): Boolean = state.getAndSet(State.CLOSED) != State.CLOSED
}
