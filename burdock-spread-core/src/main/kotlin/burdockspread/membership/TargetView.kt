/** Which targets may be given new work. */
package burdockspread.membership

import burdockspread.id.FailureDomainId
import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** A target as the document lists it. */
public data class DocumentTarget(
    public val target: TargetId,
    public val domain: FailureDomainId,
    public val leaving: Boolean,
)

/** What the shell has to do for the target view. */
public sealed interface TargetEffect {
    /** Put an entry of kind `TARGET` with [Presence.version], retired if it is dead. */
    public data class Publish(public val target: TargetId, public val presence: Presence) :
        TargetEffect
}

/**
 * Settings of the target view.
 *
 * @property domain failure domain of this host.
 * @property refusalsToSuspect refused connections in a row that make a suspect for all hosts.
 * @property timeoutsToAvoid unanswered requests in a row after which this host avoids a target.
 * @property avoidPeriod time for which this host avoids a target that it could not reach.
 * @property forgetPeriod age at which failures and removed targets are forgotten.
 */
public data class TargetViewSettings(
    public val domain: FailureDomainId,
    public val refusalsToSuspect: Int = 2,
    public val timeoutsToAvoid: Int = 2,
    public val avoidPeriod: Duration = 2.seconds,
    public val forgetPeriod: Duration = 10.minutes,
)

/**
 * Targets that get no new work, at one moment, for readers on any thread.
 *
 * @property presences the highest presence seen of each target that was ever seen.
 * @property leaving targets that the document says are leaving.
 * @property avoided targets that this host could not reach a moment ago.
 */
public data class TargetSnapshot(
    public val presences: ImmutableMap<TargetId, Presence>,
    public val leaving: ImmutableSet<TargetId>,
    public val avoided: ImmutableSet<TargetId>,
) {
    /** Whether [target] may be given new work. One that was never seen may. */
    public fun takesNewWork(target: TargetId): Boolean {
        if (target in leaving || target in avoided) return false
        val presence = presences[target] ?: return true
        return presence.state == MemberState.LIVE
    }
}

/**
 * One host's view of the targets, merged from the document, the platform's list, what targets say
 * of themselves, refused connections and the other hosts' reports. Not thread-safe except for
 * [snapshot].
 */
public interface TargetView {
    /** The present view, for readers on any thread. */
    public val snapshot: AtomicReference<TargetSnapshot>

    /** Takes the targets of the document now in force. */
    public fun onDocument(
        targets: ImmutableList<DocumentTarget>,
        now: Instant,
    ): ImmutableList<TargetEffect>

    /** Takes a presence that the spread brought. */
    public fun onPresence(target: TargetId, presence: Presence, now: Instant)

    /** Takes the platform's whole list. */
    public fun onPlatformList(
        reports: ImmutableList<PlatformReport<TargetId>>,
        now: Instant,
    ): ImmutableList<TargetEffect>

    /**
     * [target] answered, and told its [incarnation] and whether it is leaving.
     *
     * @param incarnation start of its process in epoch milliseconds, or null when it does not tell.
     */
    public fun onResponse(
        target: TargetId,
        incarnation: Long?,
        leaving: Boolean,
        now: Instant,
    ): ImmutableList<TargetEffect>

    /** A connection to [target] was refused. */
    public fun onRefused(target: TargetId, now: Instant): ImmutableList<TargetEffect>

    /** A request to [target] had no answer in time. */
    public fun onTimeout(target: TargetId, now: Instant)

    /** Lets avoided targets be tried again. Call it about once a second. */
    public fun tick(now: Instant)

    /** Makes the core of one host. */
    public fun interface Factory {
        /** Makes a view that knows no target. */
        public fun create(settings: TargetViewSettings): TargetView
    }

    public companion object {
        /** Makes views that are kept in memory. */
        public val factory: Factory = Factory { RealTargetView(it) }
    }
}
