/** Duties, each of which one host at a time performs for all others. */
package burdockspread.duty

import burdockspread.id.FailureDomainId
import burdockspread.id.HostId

/**
 * A duty, guarded by a lease object of kind [OBJECT_KIND] with the duty's name.
 *
 * @property name unique name of lower-case letters, digits, dots and hyphens.
 * @property domain failure domain whose hosts may hold the duty, or null for all hosts.
 */
public data class Duty(public val name: String, public val domain: FailureDomainId? = null) {
    override fun toString(): String = name

    public companion object {
        /** Kind of the lease objects in the store. */
        public const val OBJECT_KIND: String = "leases"

        /** Returns the duty to watch the store and relay changes to [domain]. */
        public fun relay(domain: FailureDomainId): Duty = Duty("relay.$domain", domain)

        /** Returns the duty to write the claims of one [shard]. */
        public fun claims(shard: Int): Duty = Duty("claims.$shard")

        /** Returns the duty to assign models, versions and roles to the targets of [domain]. */
        public fun placement(domain: FailureDomainId): Duty = Duty("placement.$domain", domain)
    }
}

/** Identity of one process that may hold duties. A restarted host is a new candidate. */
public data class CandidateId(public val host: HostId, public val incarnation: Long) {
    override fun toString(): String = "$host/$incarnation"
}

/** A live host that may hold duties. */
public data class Candidate(public val host: HostId, public val domain: FailureDomainId)
