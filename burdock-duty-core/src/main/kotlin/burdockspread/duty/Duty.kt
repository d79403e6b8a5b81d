/** Duties that one host at a time performs for others. */
package burdockspread.duty

import burdockspread.id.FailureDomainId
import burdockspread.id.HostId

/**
 * A duty, held under a lease object of kind [OBJECT_KIND] with the duty's name.
 *
 * @property name unique; lower-case letters, digits, dots and hyphens.
 * @property domain failure domain whose hosts may hold it, or null for all hosts.
 */
public data class Duty(public val name: String, public val domain: FailureDomainId? = null) {
    override fun toString(): String = name

    public companion object {
        /** Kind of the lease objects in the store. */
        public const val OBJECT_KIND: String = "leases"

        /** Watches the store for [domain] and passes changes on. */
        public fun relay(domain: FailureDomainId): Duty = Duty("relay.$domain", domain)

        /** Writes the claims of one [shard]. */
        public fun claims(shard: Int): Duty = Duty("claims.$shard")

        /** Gives the targets of [domain] their models, versions and roles. */
        public fun placement(domain: FailureDomainId): Duty = Duty("placement.$domain", domain)
    }
}

/** One process that may hold duties. A restarted host is another candidate. */
public data class CandidateId(public val host: HostId, public val incarnation: Long) {
    override fun toString(): String = "$host/$incarnation"
}

/** A live host that may hold duties, with its place. */
public data class Candidate(public val host: HostId, public val domain: FailureDomainId)
