/** Which versions of a service's targets may get which requests. */
package burdockspread.forward.load

import burdockspread.forward.directory.TargetEntry
import kotlin.time.Instant

/**
 * Restricts the placements of one service while its targets differ in version, and receives what
 * came of them. Not thread-safe and does no I/O.
 */
public interface VersionGate {
    /** Sets the service's targets. */
    public fun onTargets(targets: Collection<TargetEntry>) {}

    /** Returns whether [request], which has been sent to no target yet, tries the new version. */
    public fun isTrial(request: PlacementRequest, now: Instant): Boolean = false

    /** Returns whether [target] may get a request, which is a trial or not. */
    public fun preference(target: TargetEntry, isTrial: Boolean): VersionPreference =
        VersionPreference.FIRST

    public fun onSent(request: PlacementRequest, target: TargetEntry, now: Instant) {}

    public fun onResponseHead(localId: Long, now: Instant) {}

    public fun onEnded(localId: Long, outcome: AttemptOutcome, now: Instant) {}

    public companion object {
        /** Treats all versions alike. */
        public val NONE: VersionGate = object : VersionGate {}
    }
}

/** Whether the version of a target may get a request. */
public enum class VersionPreference {
    FIRST,

    /** Only if no target of a preferred version has capacity. */
    FALLBACK,
    NEVER,
}

/** Returns the targets of [open] that match and whose version comes first for [request]. */
internal inline fun VersionGate.preferred(
    open: List<TargetLoad>,
    request: PlacementRequest,
    matches: (TargetLoad) -> Boolean,
): List<TargetLoad> {
    val matching = open.filter(matches)
    if (this === VersionGate.NONE) return matching
    val byVersion = matching.groupBy { preference(it.entry, request.isTrial) }
    return byVersion[VersionPreference.FIRST] ?: byVersion[VersionPreference.FALLBACK].orEmpty()
}

internal fun VersionGate.allows(target: TargetLoad, request: PlacementRequest): Boolean =
    preference(target.entry, request.isTrial) != VersionPreference.NEVER
