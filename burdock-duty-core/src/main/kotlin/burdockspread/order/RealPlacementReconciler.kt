/** Default implementation of [PlacementReconciler], kept in memory. */
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
    private class Observation(val observed: ObservedTarget, val at: Instant)

    private class InFlight(
        val order: Order,
        val startedAt: Instant,
        var isAccepted: Boolean = false,
    )

    private var desired = DesiredPlacement(persistentListOf(), persistentMapOf(), 0)
    private val observations = HashMap<TargetId, Observation>()
    private val lastReadBack = HashMap<TargetId, Instant>()
    private val inFlight = HashMap<TargetId, InFlight>()
    private val backoffUntil = HashMap<TargetId, Instant>()
    private var token: Long? = null
    private var supersededToken: Long? = null
    private var trustedFrom = Instant.DISTANT_FUTURE

    override var status: PlacementStatus = PlacementStatus(0, 0, 0, 0, 0, 0)
        private set

    override fun onDesired(desired: DesiredPlacement) {
        this.desired = desired
        val targets = desired.targets.mapTo(HashSet()) { it.target }
        listOf(observations, lastReadBack, inFlight, backoffUntil)
            .forEach { it.keys.retainAll(targets) }
    }

    override fun onObserved(observed: ObservedTarget, observedAt: Instant) {
        val previous = observations[observed.target]
        if (previous != null && previous.at > observedAt) return
        observations[observed.target] = Observation(observed, observedAt)
        removeIfSettled(observed, observedAt)
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
                backoffUntil[target] = now + settings.failureBackoff
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
        if (lease?.token != token) onLeaseChanged(lease, now)
        if (lease == null || lease.token == supersededToken) return persistentListOf()
        removeTimedOut(now)
        val orders = orders(lease, now)
        return (orders + readBacks(now)).toImmutableList()
    }

    /** Ignores observations from before the lease or that orders in flight may still change. */
    private fun onLeaseChanged(lease: HeldLease?, now: Instant) {
        token = lease?.token
        inFlight.clear()
        lastReadBack.clear()
        backoffUntil.clear()
        trustedFrom = if (lease == null) Instant.DISTANT_FUTURE else now + settings.orderTimeout
    }

    private fun orders(lease: HeldLease, now: Instant): List<OrderEffect> {
        val capacity = capacity(now)
        val dueOrders = desired.targets.mapNotNull { dueOrder(it, now) }
        val orders = mutableListOf<OrderEffect>()
        for ((target, order, observed) in dueOrders.sortedBy { it.rank }) {
            val hasCapacity = capacity.tryReserve(order, observed)
            val isInTime = now + settings.orderTimeout < lease.deadline
            if (!hasCapacity || !isInTime) continue
            inFlight[target.target] = InFlight(order, now)
            val sendBefore = minOf(now + settings.orderTimeout, lease.deadline)
            orders += OrderEffect.Send(target.target, order, lease.token, sendBefore)
        }
        status = capacity.status(dueOrders.size)
        return orders
    }

    private data class DueOrder(
        val target: DesiredTarget,
        val order: Order,
        val observed: ObservedTarget,
    ) {
        /** Targets that serve no requests come first, because changing them costs no capacity. */
        val rank: Int get() = if (observed.serving) 1 else 0
    }

    private fun dueOrder(target: DesiredTarget, now: Instant): DueOrder? {
        val observation =
            observations[target.target]?.takeIf { isTrusted(target, it, now) } ?: return null
        if (target.target in inFlight) return null
        if (backoffUntil[target.target]?.let { now < it } == true) return null
        val order = nextOrder(target, observation.observed) ?: return null
        return DueOrder(target, order, observation.observed)
    }

    /** A target that checks tokens rejects orders of older holders after the first newer one. */
    private fun isTrusted(target: DesiredTarget, observation: Observation, now: Instant): Boolean {
        val trustedSince =
            if (target.checksToken) trustedFrom - settings.orderTimeout else trustedFrom
        return observation.at >= trustedSince && now - observation.at <= settings.staleAfter
    }

    private fun trustedObservations(now: Instant): List<ObservedTarget> =
        desired.targets.mapNotNull { target ->
            observations[target.target]?.takeIf { isTrusted(target, it, now) }?.observed
        }

    private fun capacity(now: Instant): OrderCapacity {
        val ordersInFlight = inFlight.mapValues { it.value.order }
        return OrderCapacity(desired, trustedObservations(now), ordersInFlight)
    }

    private fun readBacks(now: Instant): List<OrderEffect> = desired.targets
        .map { it.target }
        .filter { now - lastContact(it) >= settings.readBackPeriod }
        .onEach { lastReadBack[it] = now }
        .map { OrderEffect.ReadBack(it) }

    private fun lastContact(target: TargetId): Instant {
        val askedAt = lastReadBack[target] ?: Instant.DISTANT_PAST
        val lastObservedAt =
            observations[target]?.at?.takeIf { it >= trustedFrom } ?: Instant.DISTANT_PAST
        return maxOf(askedAt, lastObservedAt)
    }

    /** Removes an order that [observed] shows as done, or as without effect after its timeout. */
    private fun removeIfSettled(observed: ObservedTarget, at: Instant) {
        val entry = inFlight[observed.target] ?: return
        val desiredTarget = desired.targets.find { it.target == observed.target } ?: return
        val differs = nextOrder(desiredTarget, observed) == entry.order
        val isLate = at - entry.startedAt >= settings.orderTimeout
        if (!differs || isLate) inFlight.remove(observed.target)
    }

    private fun removeTimedOut(now: Instant) {
        inFlight.values.removeAll { now - it.startedAt >= settings.loadTimeout }
    }
}
