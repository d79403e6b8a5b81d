/** Lease objects and the results of reading them. */
package burdockspread.duty

import kotlin.time.Duration

/**
 * Value of a lease object. It is never deleted, so that the token never falls.
 *
 * @property holder text of the holder's [CandidateId], or null after a release.
 * @property duration time that the object must stay unchanged before another candidate takes over.
 * @property token fencing token; rises with each acquisition.
 */
public data class LeaseRecord(
    public val holder: String?,
    public val duration: Duration,
    public val token: Long,
)

/** Result of reading a lease object. */
public sealed interface LeaseRead {
    /** The object as the store has it. */
    public data class Found(
        public val version: Long,
        public val writeId: String,
        public val record: LeaseRecord,
    ) : LeaseRead

    /** Nobody has held the duty yet. */
    public data object Missing : LeaseRead

    /** The store did not answer. */
    public data object Unavailable : LeaseRead
}
