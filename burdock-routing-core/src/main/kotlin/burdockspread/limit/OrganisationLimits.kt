/** Limits of organisations across all entry hosts, without a store call per request. */
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
 * Enforces the limits of organisations at one host.
 *
 * [check] and permits are thread-safe. The other functions, which move shares between hosts, must
 * be called by one thread at a time.
 */
public interface OrganisationLimits {
    /** Checks whether a request that generates at most [maxTokens] tokens may run. */
    public fun check(organisation: OrganisationId, maxTokens: Int, now: Instant): LimitDecision

    /** Sets the limits of the document. Organisations without limits are not in [limits]. */
    public fun onLimits(limits: ImmutableMap<OrganisationId, OrganisationLimit>)

    /** Sets the hosts between which the limits are shared. */
    public fun onMembers(members: ShareMembers, now: Instant)

    /** Reports demand and renews shares. Must be called once a second. */
    public fun onTick(now: Instant): ImmutableList<OutgoingShareMessage>

    /** Processes a message of [from]. Messages may be delayed, lost or duplicated. */
    public fun onMessage(
        from: HostId,
        message: ShareMessage,
        now: Instant,
    ): ImmutableList<OutgoingShareMessage>

    /** Returns the share of the limit that this host may use now, from 0 to 1. */
    public fun share(organisation: OrganisationId, now: Instant): Double

    /** Creates [OrganisationLimits] instances. */
    public companion object {
        /** Returns the limits for the host [own] in [domain]. */
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
    /** Fraction of each limit that a failure domain may use while it is partitioned. */
    public val cutOffFloor: Double = 0.0,
)

/** Settings of the distribution of shares. */
public data class ShareOptions(
    /** Time for which a granted share is valid without renewal. */
    public val lifetime: Duration = 9.seconds,
    /** Interval at which an unchanged share is renewed. */
    public val renewInterval: Duration = 3.seconds,
    /** Fraction of each limit that is split evenly between all hosts without any request. */
    public val baseFraction: Double = 0.1,
    /** Requested demand as a multiple of the measured demand. */
    public val headroom: Double = 2.0,
)

/** Hosts between which the limits are shared. */
public data class ShareMembers(
    /** All failure domains of the document, reachable or not, in a fixed order. */
    public val domains: ImmutableList<FailureDomainId>,
    /** Number of entry hosts in the document. */
    public val hostCount: Int,
    /** Known live hosts by failure domain. */
    public val live: ImmutableMap<FailureDomainId, ImmutableList<HostId>>,
)

/** Decision whether a request is within its organisation's limits. */
public sealed interface LimitDecision {
    /** The request may run. The caller releases [permit] when it ends. */
    public data class Allowed(public val permit: LimitPermit) : LimitDecision

    /**
     * The request was not run.
     *
     * @property isShareRequested whether a larger share has been requested, so that another [check]
     * a few hundred milliseconds later may pass.
     */
    public data class Refused(public val refusal: Refusal, public val isShareRequested: Boolean) :
        LimitDecision
}

/** Permit of one running request. */
public interface LimitPermit {
    /** Charges [count] generated tokens. */
    public fun onTokens(count: Int, now: Instant)

    /** Releases the permit. Further calls have no effect. */
    public fun release(now: Instant)
}
