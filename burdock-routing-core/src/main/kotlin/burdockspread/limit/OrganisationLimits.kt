/** Limits of organisations across all entry hosts, without a store call for each request. */
package burdockspread.limit

import burdockspread.error.Refusal
import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import burdockspread.id.OrganisationId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * One host's part in holding the limits.
 *
 * [check] and permits may be used from several threads at a time. The other functions, which move
 * shares between hosts, are called by one thread at a time.
 */
public interface OrganisationLimits {
    /** Asks whether a request may run that is expected to take at most [maxTokens] tokens. */
    public fun check(organisation: OrganisationId, maxTokens: Int, now: Instant): LimitDecision

    /** Takes the limits of the document. Organisations without limits are not in [limits]. */
    public fun onLimits(limits: ImmutableMap<OrganisationId, OrganisationLimit>)

    /** Takes the hosts that take part. */
    public fun onMembers(members: ShareMembers, now: Instant)

    /** Reports demand and renews shares. To be called once a second. */
    public fun onTick(now: Instant): ImmutableList<OutgoingShareMessage>

    /** Takes a message of [from], which may be late, lost or repeated. */
    public fun onMessage(
        from: HostId,
        message: ShareMessage,
        now: Instant,
    ): ImmutableList<OutgoingShareMessage>

    /** Share of the limit that this host may spend now, from 0 to 1. */
    public fun share(organisation: OrganisationId, now: Instant): Double

    /** Makes limits. */
    public companion object {
        /** Limits on the host [own] in [domain]. */
        public operator fun invoke(
            own: HostId,
            domain: FailureDomainId,
            options: ShareOptions = ShareOptions(),
        ): OrganisationLimits = RealOrganisationLimits(own, domain, options)
    }
}

/** Limits of one organisation across all hosts. Zero means unlimited. */
public data class OrganisationLimit(
    public val requestsPerSecond: Double = 0.0,
    public val tokensPerSecond: Double = 0.0,
    public val concurrent: Int = 0,
    /** Fraction of each limit that a failure domain may spend while it is cut off. */
    public val cutOffFloor: Double = 0.0,
)

/** Settings of the shares. */
public data class ShareOptions(
    /** Time for which a granted share may be used without renewal. */
    public val lifetime: Duration = 9.seconds,
    /** Time after which an unchanged share is renewed. */
    public val renewInterval: Duration = 3.seconds,
    /** Part of each limit that all hosts of the document hold evenly without asking. */
    public val baseFraction: Double = 0.1,
    /** Demand that is asked for, as a multiple of the demand seen. */
    public val headroom: Double = 2.0,
)

/** Hosts between which the limits are shared. */
public data class ShareMembers(
    /** All failure domains of the document, whether reachable or not, in a fixed order. */
    public val domains: ImmutableList<FailureDomainId>,
    /** Number of entry hosts in the document. */
    public val hostCount: Int,
    /** Live hosts by failure domain, as far as known. */
    public val live: ImmutableMap<FailureDomainId, ImmutableList<HostId>>,
)

/** Whether a request is within its organisation's limits. */
public sealed interface LimitDecision {
    /** It may run; [permit] is released when it ends. */
    public data class Allowed(public val permit: LimitPermit) : LimitDecision

    /**
     * It was not run.
     *
     * @property isShareRequested whether a larger share has been requested, so that another [check]
     * a few hundred milliseconds later may pass.
     */
    public data class Refused(public val refusal: Refusal, public val isShareRequested: Boolean) :
        LimitDecision
}

/** Permission for one running request. */
public interface LimitPermit {
    /** Charges [count] tokens that were generated. */
    public fun onTokens(count: Int, now: Instant)

    /** Ends the request; further calls do nothing. */
    public fun release(now: Instant)
}
