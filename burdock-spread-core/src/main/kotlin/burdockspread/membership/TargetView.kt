/** View of the targets and whether they accept new work. */
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

/** A target as listed in the document. */
public data class DocumentTarget(
    public val target: TargetId,
    public val domain: FailureDomainId,
    public val leaving: Boolean,
)

/** Action that the caller executes for the target view. */
public sealed interface TargetEffect {
    /** Publish an entry of kind `TARGET` with [Presence.version], retired if it is dead. */
    public data class Publish(public val target: TargetId, public val presence: Presence) :
        TargetEffect
}

/**
 * Settings of the target view.
 *
 * @property domain failure domain of this host.
 * @property refusalsToSuspect consecutive refused connections after which a target is suspected on
 * all hosts.
 * @property timeoutsToEject consecutive request timeouts after which this host ejects a target.
 * @property ejectionPeriod time after a failure for which a target stays ejected on this host.
 * @property retentionPeriod time after which failures and removed targets are dropped.
 */
public data class TargetViewSettings(
    public val domain: FailureDomainId,
    public val refusalsToSuspect: Int = 2,
    public val timeoutsToEject: Int = 2,
    public val ejectionPeriod: Duration = 2.seconds,
    public val retentionPeriod: Duration = 10.minutes,
)

/**
 * Immutable snapshot of the target view, readable from any thread.
 *
 * @property presences highest presence of each target that was ever reported.
 * @property leaving targets that the document marks as leaving.
 * @property ejected targets that recently failed at this host and get no new work from it.
 */
public data class TargetSnapshot(
    public val presences: ImmutableMap<TargetId, Presence>,
    public val leaving: ImmutableSet<TargetId>,
    public val ejected: ImmutableSet<TargetId>,
) {
    /** Returns whether [target] may get new work. A target without any report may. */
    public fun takesNewWork(target: TargetId): Boolean {
        if (target in leaving || target in ejected) return false
        val presence = presences[target] ?: return true
        return presence.state == MemberState.LIVE
    }
}

/**
 * One host's view of the targets, merged from the document, the platform's list, the responses of
 * targets, refused connections and the reports of other hosts. Not thread-safe except for
 * [snapshot].
 */
public interface TargetView {
    /** The current view, readable from any thread. */
    public val snapshot: AtomicReference<TargetSnapshot>

    /** Handles the targets of a newly active document. */
    public fun onDocument(
        targets: ImmutableList<DocumentTarget>,
        now: Instant,
    ): ImmutableList<TargetEffect>

    /** Handles a presence received by gossip. */
    public fun onPresence(target: TargetId, presence: Presence, now: Instant)

    /** Handles the complete list of the platform. */
    public fun onPlatformList(
        reports: ImmutableList<PlatformReport<TargetId>>,
        now: Instant,
    ): ImmutableList<TargetEffect>

    /**
     * Handles a response of [target] with its [incarnation] and whether it is [leaving].
     *
     * @param incarnation start of its process in epoch milliseconds, or null if not reported.
     */
    public fun onResponse(
        target: TargetId,
        incarnation: Long?,
        leaving: Boolean,
        now: Instant,
    ): ImmutableList<TargetEffect>

    /** Handles a refused connection to [target]. */
    public fun onRefused(target: TargetId, now: Instant): ImmutableList<TargetEffect>

    /** Handles a request timeout at [target]. */
    public fun onTimeout(target: TargetId, now: Instant)

    /** Readmits targets after their ejection. To be called about once a second. */
    public fun tick(now: Instant)

    /** Creates the target view of one host. */
    public fun interface Factory {
        /** Creates a view without any targets. */
        public fun create(settings: TargetViewSettings): TargetView
    }

    public companion object {
        /** Creates in-memory views. */
        public val factory: Factory = Factory { RealTargetView(it) }
    }
}
