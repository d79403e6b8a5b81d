/** Brings the targets of one failure domain to what the document wants. */
package burdockspread.order

import burdockspread.duty.HeldLease
import burdockspread.id.ModelId
import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Times of orders.
 *
 * @property orderTimeout longest time from an order's start until it has reached its target or
 * never will. A new holder waits it out before it acts on what it sees.
 * @property readBackPeriod time between two looks at a target.
 * @property staleAfter age at which what was seen of a target counts no more.
 * @property loadTimeout time for which an order to a target that fell silent counts as a load.
 * @property failureBackoff pause after a refused order.
 */
public data class PlacementSettings(
    public val orderTimeout: Duration = 3.seconds,
    public val readBackPeriod: Duration = 10.seconds,
    public val staleAfter: Duration = 30.seconds,
    public val loadTimeout: Duration = 5.minutes,
    public val failureBackoff: Duration = 10.seconds,
)

/**
 * What the document wants of one failure domain.
 *
 * @property floors smallest number of serving targets of each model that a change must leave.
 * @property maxLoads loads from the weight store that may run at once in the failure domain.
 */
public data class DesiredPlacement(
    public val targets: ImmutableList<DesiredTarget>,
    public val floors: ImmutableMap<ModelId, Int>,
    public val maxLoads: Int,
)

/**
 * Progress towards the document, for status and metrics.
 *
 * @property behind targets that differ from the document.
 * @property heldByFloor of those, targets left alone because a model would fall below its floor.
 * @property heldByLoads of those, targets that wait for the limit of loads.
 * @property unseen targets that were not seen since this holder began.
 */
public data class PlacementStatus(
    public val targets: Int,
    public val behind: Int,
    public val inFlight: Int,
    public val heldByFloor: Int,
    public val heldByLoads: Int,
    public val unseen: Int,
)

/**
 * Compares what the document wants with what targets report and gives the orders that close the
 * difference. Safe with targets that ignore fencing tokens as far as that is possible: orders state
 * an end and may repeat, the holder stops before its lease ends, its successor waits out orders in
 * flight, and whatever a late order did is seen and undone. Not thread-safe.
 */
public interface PlacementReconciler {
    /** Takes what the document wants. */
    public fun onDesired(desired: DesiredPlacement)

    /** Takes what a target reported at [observedAt], by this host's clock. */
    public fun onObserved(observed: ObservedTarget, observedAt: Instant)

    /** Takes a target's answer to the order sent under [token]. */
    public fun onResult(
        target: TargetId,
        token: Long,
        result: OrderResult,
        now: Instant,
    ): ImmutableList<OrderEffect>

    /** Gives the orders that are due while [lease] is held. Call it about once a second. */
    public fun tick(lease: HeldLease?, now: Instant): ImmutableList<OrderEffect>

    /** Progress at the last tick. */
    public val status: PlacementStatus

    /** Makes the core for one failure domain. */
    public fun interface Factory {
        /** Makes a core that knows no target. */
        public fun create(settings: PlacementSettings): PlacementReconciler
    }

    public companion object {
        /** Makes cores that are kept in memory. */
        public val factory: Factory = Factory { RealPlacementReconciler(it) }
    }
}
