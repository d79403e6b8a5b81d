/** Membership of the entry hosts and their states. */
package burdockspread.membership

import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import kotlinx.collections.immutable.ImmutableList
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Action that the caller executes for the membership core. */
public sealed interface MembershipEffect {
    /** Publish [member] as an entry of kind `HOST`, retired if it is dead. */
    public data class Publish(public val member: Member) : MembershipEffect

    /** Drain this host: another host or the platform reported that it is leaving. */
    public data object DrainRequested : MembershipEffect
}

/**
 * Settings of the membership core.
 *
 * @property suspicionTimeout time that a suspect has to refute the suspicion before it is declared
 * dead.
 * @property refusalsToSuspect consecutive refused connections after which a host is suspected.
 * @property timeoutsToSuspect consecutive request timeouts after which a host is suspected.
 * @property unreachablePeriod time after a failure for which the failed host counts as
 * unreachable.
 * @property retentionPeriod time after which dead hosts are removed.
 */
public data class MembershipSettings(
    public val host: HostId,
    public val domain: FailureDomainId,
    public val region: String,
    public val address: String,
    public val suspicionTimeout: Duration = 5.seconds,
    public val refusalsToSuspect: Int = 2,
    public val timeoutsToSuspect: Int = 4,
    public val unreachablePeriod: Duration = 4.seconds,
    public val retentionPeriod: Duration = 1.hours,
)

/**
 * One host's view of the entry hosts. Not thread-safe except for [snapshot].
 *
 * Only hosts of the same failure domain declare a host suspect or dead from their own observations,
 * so that a network partition between failure domains is never published as dead hosts. Hosts of
 * other failure domains only treat an unresponsive host as unreachable locally.
 */
public interface Membership {
    /** The current view, readable from any thread. */
    public val snapshot: AtomicReference<MembershipSnapshot>

    /** Announces this host; [incarnation] is the start of its process in epoch milliseconds. */
    public fun start(incarnation: Long, now: Instant): ImmutableList<MembershipEffect>

    /** Handles a member received by gossip. */
    public fun onMember(member: Member, now: Instant): ImmutableList<MembershipEffect>

    /** Handles the platform's full list of hosts. Hosts missing from it are not declared dead. */
    public fun onPlatformList(
        reports: ImmutableList<PlatformReport<HostId>>,
        now: Instant,
    ): ImmutableList<MembershipEffect>

    /** Handles a refused connection to [host]: its process is gone or its port is closed. */
    public fun onRefused(host: HostId, now: Instant): ImmutableList<MembershipEffect>

    /** Handles a request timeout at [host]: it is gone, paused or partitioned. */
    public fun onTimeout(host: HostId, now: Instant): ImmutableList<MembershipEffect>

    /** Handles a response of [host]. */
    public fun onResponse(host: HostId, now: Instant)

    /** Announces that this host is leaving and accepts no new work from now on. */
    public fun leave(now: Instant): ImmutableList<MembershipEffect>

    /** Announces that the process of this host is exiting. */
    public fun end(now: Instant): ImmutableList<MembershipEffect>

    /** Declares suspects dead after the suspicion timeout. To be called about once a second. */
    public fun tick(now: Instant): ImmutableList<MembershipEffect>

    /** Creates the membership core of one host. */
    public fun interface Factory {
        /** Creates a core that knows only this host. */
        public fun create(settings: MembershipSettings): Membership
    }

    public companion object {
        /** Creates cores that keep the view in memory. */
        public val factory: Factory = Factory { RealMembership(it) }
    }
}
