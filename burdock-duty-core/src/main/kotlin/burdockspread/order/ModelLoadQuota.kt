/** Shares of the weight store's limit for the failure domains. */
package burdockspread.order

import burdockspread.id.FailureDomainId
import kotlinx.collections.immutable.ImmutableMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * Splits the limit of concurrent loads among failure domains, so that their sum never passes it and
 * no message is needed. Domains get shares by their number of targets. When there are fewer loads
 * than domains, the domains take turns.
 *
 * @property limit loads that the weight store bears at once.
 * @property targets number of targets of each failure domain, from the document.
 * @property timeSlice length of a turn.
 * @property timeSliceGuard end of a slice in which no load starts: longest load plus clock error.
 */
public data class ModelLoadQuota(
    public val limit: Int,
    public val targets: ImmutableMap<FailureDomainId, Int>,
    public val timeSlice: Duration = 10.minutes,
    public val timeSliceGuard: Duration = 6.minutes,
) {
    /** Loads that [domain] may run at once; [now] only matters where domains take turns. */
    public fun quota(domain: FailureDomainId, now: Instant): Int {
        val order = targets.keys.sortedBy { it.value }
        if (domain !in targets || limit <= 0) return 0
        return if (limit < order.size) turnShare(order, domain, now) else sizeShare(order, domain)
    }

    private fun turnShare(
        order: List<FailureDomainId>,
        domain: FailureDomainId,
        now: Instant,
    ): Int {
        val group = order.indexOf(domain) / limit
        val groups = (order.size + limit - 1) / limit
        val elapsed = (now - Instant.fromEpochSeconds(0)).toLong(DurationUnit.MILLISECONDS)
        val turnMs = timeSlice.inWholeMilliseconds
        val isTurn = elapsed / turnMs % groups == group.toLong()
        val isOpen = elapsed % turnMs < turnMs - timeSliceGuard.inWholeMilliseconds
        return if (isTurn && isOpen) 1 else 0
    }

    /** One each, and the rest by size; what rounding leaves goes to the first by name. */
    private fun sizeShare(order: List<FailureDomainId>, domain: FailureDomainId): Int {
        val total = targets.values.sum().coerceAtLeast(1)
        val rest = limit - order.size
        val shares = order.map { rest * targets.getValue(it) / total }
        val left = rest - shares.sum()
        val index = order.indexOf(domain)
        return 1 + shares[index] + if (index < left) 1 else 0
    }
}
