/** Targets as they register themselves. */
package burdockspread.forward.directory

import burdockspread.id.FailureDomainId
import burdockspread.id.ServiceId
import burdockspread.id.TargetId

/**
 * What one target says of itself.
 *
 * @property address IP:port. Addresses of targets that are gone are used again by others.
 * @property bornMillis start of this incarnation, in Unix milliseconds; 0 when unsaid.
 * @property sequence counts the target's own changes within one incarnation.
 */
public data class TargetEntry(
    public val id: TargetId,
    public val service: ServiceId,
    public val address: String,
    public val failureDomain: FailureDomainId,
    public val slots: Int,
    public val leaving: Boolean,
    public val bornMillis: Long,
    public val sequence: Long,
) {
    /** Whether [other] is the same start of the same target. */
    public fun sameIncarnation(other: TargetEntry): Boolean =
        id == other.id && bornMillis == other.bornMillis
}
