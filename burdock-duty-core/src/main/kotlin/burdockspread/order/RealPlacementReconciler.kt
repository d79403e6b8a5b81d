/** The placement of one failure domain, kept in memory. */
package burdockspread.order

import burdockspread.duty.HeldLease
import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableList
import kotlin.time.Instant

internal class RealPlacementReconciler(private val settings: PlacementSettings) :
    PlacementReconciler {
    private class Seen(val observed: ObservedTarget, val at: Instant)

    private class InFlight(
        val order: Order,
        val startedAt: Instant,
        var isAccepted: Boolean = false,
    )

    private var desired = DesiredPlacement(persistentListOf(), persistentMapOf(), 0)
    private val seen = HashMap<TargetId, Seen>()
    private val asked = HashMap<TargetId, Instant>()
    private val inFlight = HashMap<TargetId, InFlight>()
    private val pausedUntil = HashMap<TargetId, Instant>()
    private var token: Long? = null
    private var supersededToken: Long? = null
    private var actsFrom = Instant.DISTANT_FUTURE

    override var status: PlacementStatus = PlacementStatus(0, 0, 0, 0, 0, 0)
        private set

    override fun onDesired(desired: DesiredPlacement) {
        this.desired = desired
        val targets = desired.targets.mapTo(HashSet()) { it.target }
        listOf(seen, asked, inFlight, pausedUntil).forEach { it.keys.retainAll(targets) }
    }

    override fun onObserved(observed: ObservedTarget, observedAt: Instant) {
        val before = seen[observed.target]
        if (before != null && before.at > observedAt) return
        seen[observed.target] = Seen(observed, observedAt)
        settle(observed, observedAt)
    }

    override fun onResult(
        target: TargetId,
        token: Long,
        result: OrderResult,
        now: Instant,
    ): ImmutableList<OrderEffect> {
        if (token != this.token) return persistentListOf()
        when (result) {
            OrderResult.ACCEPTED, OrderResult.UNKNOWN -> Unit
            OrderResult.FAILED -> {
                inFlight.remove(target)
                pausedUntil[target] = now + settings.failureBackoff
            }
            OrderResult.FENCED -> {
                inFlight.remove(target)
                supersededToken = token
                return persistentListOf(OrderEffect.Superseded(token))
            }
        }
        return persistentListOf()
    }

    override fun tick(lease: HeldLease?, now: Instant): ImmutableList<OrderEffect> {
        if (lease?.token != token) begin(lease, now)
        if (lease == null || lease.token == supersededToken) return persistentListOf()
        forgetOverdue(now)
        val orders = orders(lease, now)
        return (orders + readBacks(now)).toImmutableList()
    }

    /** What was seen before this holder began, or may change by an order in flight, is void. */
    private fun begin(lease: HeldLease?, now: Instant) {
        token = lease?.token
        inFlight.clear()
        asked.clear()
        pausedUntil.clear()
        actsFrom = if (lease == null) Instant.DISTANT_FUTURE else now + settings.orderTimeout
    }

    private fun orders(lease: HeldLease, now: Instant): List<OrderEffect> {
        val capacity = capacity(now)
        val due = desired.targets.mapNotNull { due(it, now) }
        val orders = mutableListOf<OrderEffect>()
        for ((target, order, observed) in due.sortedBy { it.rank }) {
            val fits = capacity.take(order, observed)
            val inTime = now + settings.orderTimeout < lease.deadline
            if (!fits || !inTime) continue
            inFlight[target.target] = InFlight(order, now)
            val sendBefore = minOf(now + settings.orderTimeout, lease.deadline)
            orders += OrderEffect.Send(target.target, order, lease.token, sendBefore)
        }
        status = capacity.status(due.size)
        return orders
    }

    private data class Due(
        val target: DesiredTarget,
        val order: Order,
        val observed: ObservedTarget,
    ) {
        /** Targets that take no work come first: changing them costs no capacity. */
        val rank: Int get() = if (observed.serving) 1 else 0
    }

    private fun due(target: DesiredTarget, now: Instant): Due? {
        val last = seen[target.target]?.takeIf { isTrusted(target, it, now) } ?: return null
        if (target.target in inFlight) return null
        if (pausedUntil[target.target]?.let { now < it } == true) return null
        val order = nextOrder(target, last.observed) ?: return null
        return Due(target, order, last.observed)
    }

    /** A target that checks tokens has refused older orders from the first newer one on. */
    private fun isTrusted(target: DesiredTarget, last: Seen, now: Instant): Boolean {
        val from = if (target.checksToken) actsFrom - settings.orderTimeout else actsFrom
        return last.at >= from && now - last.at <= settings.staleAfter
    }

    private fun trusted(now: Instant): List<ObservedTarget> = desired.targets.mapNotNull { target ->
        seen[target.target]?.takeIf { isTrusted(target, it, now) }?.observed
    }

    private fun capacity(now: Instant): OrderCapacity {
        val busy = inFlight.mapValues { it.value.order }
        return OrderCapacity(desired, trusted(now), busy)
    }

    private fun readBacks(now: Instant): List<OrderEffect> = desired.targets
        .map { it.target }
        .filter { now - lastLook(it) >= settings.readBackPeriod }
        .onEach { asked[it] = now }
        .map { OrderEffect.ReadBack(it) }

    private fun lastLook(target: TargetId): Instant {
        val asked = asked[target] ?: Instant.DISTANT_PAST
        val seenAt = seen[target]?.at?.takeIf { it >= actsFrom } ?: Instant.DISTANT_PAST
        return maxOf(asked, seenAt)
    }

    /** Ends what [observed] shows to be done, or to have had no effect long enough after it. */
    private fun settle(observed: ObservedTarget, at: Instant) {
        val flight = inFlight[observed.target] ?: return
        val wanted = desired.targets.find { it.target == observed.target } ?: return
        val differs = nextOrder(wanted, observed) == flight.order
        val isLate = at - flight.startedAt >= settings.orderTimeout
        if (!differs || isLate) inFlight.remove(observed.target)
    }

    private fun forgetOverdue(now: Instant) {
        inFlight.values.removeAll { now - it.startedAt >= settings.loadTimeout }
    }
}
