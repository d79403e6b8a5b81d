/** Permission to send one call. */
package burdockspread.claim

import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Instant

/**
 * Permission to send one claimed call once. Thread-safe.
 *
 * @property sendBefore time by this process's clock after which the call may no longer be sent.
 */
public class SendPermit internal constructor(
    public val claimId: ClaimId,
    internal val key: KeyHash,
    public val sendBefore: Instant,
) {
    private enum class State { OPEN, SENDING, CLOSED }

    private val state = AtomicReference(State.OPEN)

    /**
     * Returns whether the call may be sent now. True at most once, not after [sendBefore], and
     * never after [close].
     */
    public fun trySend(now: Instant): Boolean =
        now <= sendBefore && state.compareAndSet(State.OPEN, State.SENDING)

    /**
     * Closes the permit. Called before an outcome is recorded, so that nothing is sent afterwards.
     */
    internal fun close(): Boolean = state.getAndSet(State.CLOSED) != State.CLOSED
}
