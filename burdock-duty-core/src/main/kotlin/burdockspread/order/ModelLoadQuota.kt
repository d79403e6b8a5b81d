/** Quotas of the failure domains for concurrent loads from the weight store. */
package burdockspread.order

import burdockspread.id.FailureDomainId
import kotlinx.collections.immutable.ImmutableMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * Splits the limit of concurrent loads between failure domains, so that the sum of the quotas never
 * exceeds it and no coordination is needed. Quotas are proportional to the number of targets. If
 * the limit is lower than the number of domains, they share it in time slices.
 *
 * @property limit number of concurrent loads that the weight store supports.
 * @property targets number of targets of each failure domain, from the document.
 * @property timeSlice length of a time slice.
 * @property timeSliceGuard end of a slice in which no load starts: longest load plus clock error.
 */
public data class ModelLoadQuota(
    public val limit: Int,
    public val targets: ImmutableMap<FailureDomainId, Int>,
    public val timeSlice: Duration = 10.minutes,
    public val timeSliceGuard: Duration = 6.minutes,
) {
    /** Returns the concurrent loads allowed in [domain]; [now] matters only with time slices. */
    public fun quota(domain: FailureDomainId, now: Instant): Int {
        val order = targets.keys.sortedBy { it.value }
        if (domain !in targets || limit <= 0) return 0
        return if (limit < order.size) sliceQuota(order, domain, now) else sizeQuota(order, domain)
    }

    private fun sliceQuota(
        order: List<FailureDomainId>,
        domain: FailureDomainId,
        now: Instant,
    ): Int {
        val group = order.indexOf(domain) / limit
        val groups = (order.size + limit - 1) / limit
        val elapsed = (now - Instant.fromEpochSeconds(0)).toLong(DurationUnit.MILLISECONDS)
        val timeSliceMillis = timeSlice.inWholeMilliseconds
        val isOwnSlice = elapsed / timeSliceMillis % groups == group.toLong()
        val isOpen =
            elapsed % timeSliceMillis < timeSliceMillis - timeSliceGuard.inWholeMilliseconds
        return if (isOwnSlice && isOpen) 1 else 0
    }

    /** One load each and the rest by size. Rounding remainders go to the first domains by name. */
    private fun sizeQuota(order: List<FailureDomainId>, domain: FailureDomainId): Int {
        val total = targets.values.sum().coerceAtLeast(1)
        val remaining = limit - order.size
        val quotas = order.map { remaining * targets.getValue(it) / total }
        val unassigned = remaining - quotas.sum()
        val index = order.indexOf(domain)
        return 1 + quotas[index] + if (index < unassigned) 1 else 0
    }
}
