/** Orders of the operator to move a service to another version of its targets. */
package burdockspread.forward.rollout

import burdockspread.id.ServiceId
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * An order and how far it has come.
 *
 * @property version version of the targets that are to serve [service].
 * @property duration time within which the rollout has to end, from [orderedAt].
 * @property orderedAt when a host first saw the order.
 * @property storeVersion store version of the order or of its last change of state.
 */
public data class RolloutOrder(
    public val service: ServiceId,
    public val version: String,
    public val duration: Duration,
    public val orderedAt: Instant,
    public val state: RolloutState,
    public val storeVersion: Long,
) {
    /**
     * Returns this order after [next] was read, whose time is kept if it is the same order. An
     * older one changes nothing, wherever it comes from.
     */
    public fun updatedBy(next: RolloutOrder): RolloutOrder {
        val isSame = next.version == version && next.state >= state
        val firstSeen = if (isSame) minOf(orderedAt, next.orderedAt) else next.orderedAt
        return if (next.storeVersion < storeVersion) this else next.copy(orderedAt = firstSeen)
    }
}

/** How far a rollout has come, as the store holds it. The states of one order only rise. */
public enum class RolloutState {
    /** A small share of the requests tries the new version. */
    TRIAL,

    /** The new version is judged good and gets what it can take; the old one finishes its work. */
    SHIFTING,

    /** The new version serves all requests; the targets of the old one have stopped. */
    COMPLETED,

    /** The new version is judged bad and gets nothing; its targets will stop. */
    REVERTED,
    ;

    /** Whether the rollout has ended. */
    public val isFinal: Boolean get() = this == COMPLETED || this == REVERTED
}
