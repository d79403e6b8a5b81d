/** Reconciliation of the targets of one failure domain with the document. */
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
 * Timing of orders.
 *
 * @property orderTimeout longest time from the start of an order until it has either reached its
 * target or never will. A new holder waits for this time before it acts on observations.
 * @property readBackPeriod interval between queries of a target.
 * @property staleAfter age after which an observation of a target is ignored.
 * @property loadTimeout time for which an order to a target that went silent counts as a load.
 * @property failureBackoff backoff after a rejected order.
 */
public data class PlacementSettings(
    public val orderTimeout: Duration = 3.seconds,
    public val readBackPeriod: Duration = 10.seconds,
    public val staleAfter: Duration = 30.seconds,
    public val loadTimeout: Duration = 5.minutes,
    public val failureBackoff: Duration = 10.seconds,
)

/**
 * Desired state of one failure domain according to the document.
 *
 * @property floors minimum number of serving targets of each model during a change.
 * @property maxLoads maximum number of concurrent loads from the weight store in the domain.
 */
public data class DesiredPlacement(
    public val targets: ImmutableList<DesiredTarget>,
    public val floors: ImmutableMap<ModelId, Int>,
    public val maxLoads: Int,
)

/**
 * Progress towards the desired state, for status and metrics.
 *
 * @property behind number of targets that differ from the document.
 * @property heldByFloor of those, targets kept back because a model would fall below its floor.
 * @property heldByLoads of those, targets kept back by the limit of concurrent loads.
 * @property unseen number of targets without an observation since this holder started.
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
 * Compares the desired state with the state that targets report, and issues orders to reconcile
 * them. As far as possible this is safe with targets that ignore fencing tokens: orders are
 * idempotent, the holder stops before its lease expires, its successor waits until orders in flight
 * have arrived or failed, and the effect of a late order is detected and reverted. Not thread-safe.
 */
public interface PlacementReconciler {
    /** Sets the desired state. */
    public fun onDesired(desired: DesiredPlacement)

    /** Processes the state that a target reported at [observedAt], by this host's clock. */
    public fun onObserved(observed: ObservedTarget, observedAt: Instant)

    /** Processes the result of the order that was sent to [target] with [token]. */
    public fun onResult(
        target: TargetId,
        token: Long,
        result: OrderResult,
        now: Instant,
    ): ImmutableList<OrderEffect>

    /** Returns the due effects while [lease] is held. Must be called about once a second. */
    public fun tick(lease: HeldLease?, now: Instant): ImmutableList<OrderEffect>

    /** Progress at the last tick. */
    public val status: PlacementStatus

    /** Creates the reconciler of one failure domain. */
    public fun interface Factory {
        /** Creates a reconciler without targets. */
        public fun create(settings: PlacementSettings): PlacementReconciler
    }

    public companion object {
        /** Creates reconcilers that are kept in memory. */
        public val factory: Factory = Factory { RealPlacementReconciler(it) }
    }
}
