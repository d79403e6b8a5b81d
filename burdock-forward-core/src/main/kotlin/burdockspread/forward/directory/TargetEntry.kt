/** The entries with which targets register. */
package burdockspread.forward.directory

import burdockspread.id.FailureDomainId
import burdockspread.id.ServiceId
import burdockspread.id.TargetId

/**
 * The self-description of one target.
 *
 * @property address IP:port. Addresses of removed targets are reused by others.
 * @property startedAtMillis start of this incarnation in Unix milliseconds, or 0 if unknown.
 * @property sequence number of the target's own changes within one incarnation.
 * @property storeVersion store version of this state, or 0 if unknown.
 * @property version version of the target's software, or empty if unknown.
 * @property created when the entry was created, in the store's unit; differs after a removal.
 */
public data class TargetEntry(
    public val id: TargetId,
    public val service: ServiceId,
    public val address: String,
    public val failureDomain: FailureDomainId,
    public val slots: Int,
    public val isDraining: Boolean,
    public val startedAtMillis: Long,
    public val sequence: Long,
    public val storeVersion: Long = 0,
    public val created: Long = 0,
    public val version: String = "",
) {
    /** Returns whether [other] is the same incarnation of the same target. */
    public fun isSameIncarnation(other: TargetEntry): Boolean =
        id == other.id && startedAtMillis == other.startedAtMillis
}
