/** Which entry hosts there are and in which state. */
package burdockspread.membership

import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import kotlinx.collections.immutable.ImmutableList
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** What the shell has to do for the membership core. */
public sealed interface MembershipEffect {
    /** Put [member] as an entry of kind `HOST`, retired if it is dead. */
    public data class Publish(public val member: Member) : MembershipEffect

    /** Another host or the platform says that this host is leaving, so it has to drain. */
    public data object DrainRequested : MembershipEffect
}

/**
 * Settings of the membership core.
 *
 * @property suspectPeriod time that a suspect has to refute before it is declared dead.
 * @property refusalsToSuspect refused connections in a row that make a suspect.
 * @property timeoutsToSuspect unanswered requests in a row that make a suspect.
 * @property unreachablePeriod time for which a host that fails is left out locally.
 * @property forgetPeriod age at which dead hosts are forgotten.
 */
public data class MembershipSettings(
    public val host: HostId,
    public val domain: FailureDomainId,
    public val region: String,
    public val address: String,
    public val suspectPeriod: Duration = 5.seconds,
    public val refusalsToSuspect: Int = 2,
    public val timeoutsToSuspect: Int = 4,
    public val unreachablePeriod: Duration = 4.seconds,
    public val forgetPeriod: Duration = 1.hours,
)

/**
 * One host's view of the entry hosts. Not thread-safe except for [snapshot].
 *
 * Only hosts of the same failure domain declare a host suspect or dead from what they see, so that
 * a cut between failure domains never spreads as deaths. Other hosts leave it out for themselves.
 */
public interface Membership {
    /** The present view, for readers on any thread. */
    public val snapshot: AtomicReference<MembershipSnapshot>

    /** Announces this host. The [incarnation] is the epoch in milliseconds of the process start. */
    public fun start(incarnation: Long, now: Instant): ImmutableList<MembershipEffect>

    /** Takes a member that the spread brought. */
    public fun onMember(member: Member, now: Instant): ImmutableList<MembershipEffect>

    /** Takes the platform's whole list. Hosts that are missing from it are not declared dead. */
    public fun onPlatformList(
        reports: ImmutableList<PlatformReport<HostId>>,
        now: Instant,
    ): ImmutableList<MembershipEffect>

    /** A connection to [host] was refused: its process is gone or its port closed. */
    public fun onRefused(host: HostId, now: Instant): ImmutableList<MembershipEffect>

    /** A request to [host] had no answer in time: it is gone, paused or cut off. */
    public fun onTimeout(host: HostId, now: Instant): ImmutableList<MembershipEffect>

    /** [host] answered. */
    public fun onResponse(host: HostId, now: Instant)

    /** This host stops: it takes no new work from now on. */
    public fun leave(now: Instant): ImmutableList<MembershipEffect>

    /** This host's process ends now. */
    public fun end(now: Instant): ImmutableList<MembershipEffect>

    /** Declares overdue suspects dead. Call it about once a second. */
    public fun tick(now: Instant): ImmutableList<MembershipEffect>

    /** Makes the core of one host. */
    public fun interface Factory {
        /** Makes a core that knows only this host. */
        public fun create(settings: MembershipSettings): Membership
    }

    public companion object {
        /** Makes cores that keep the view in memory. */
        public val factory: Factory = Factory { RealMembership(it) }
    }
}
