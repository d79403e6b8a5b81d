/** Lease objects and the results of reading them. */
package burdockspread.duty

import kotlin.time.Duration

/**
 * Value of a lease object. The object is never deleted, so that the token never decreases.
 *
 * @property holder string form of the holder's [CandidateId], or null after a release.
 * @property duration time without a change after which another candidate may take over.
 * @property token fencing token, which increases with each acquisition.
 */
public data class LeaseRecord(
    public val holder: String?,
    public val duration: Duration,
    public val token: Long,
)

/** Result of reading a lease object. */
public sealed interface LeaseRead {
    /** The object in the store. */
    public data class Found(
        public val version: Long,
        public val writeId: String,
        public val record: LeaseRecord,
    ) : LeaseRead

    /** The object does not exist: the duty has never been held. */
    public data object Missing : LeaseRead

    /** The store did not respond. */
    public data object Unavailable : LeaseRead
}
