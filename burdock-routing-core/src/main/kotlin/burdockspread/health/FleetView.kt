/** Health of the fleet in a shape for JSON and tables. */
package burdockspread.health

import kotlinx.collections.immutable.ImmutableList

/** Health of the fleet at one time. Names, numbers and ISO times only. */
public data class FleetView(
    /** ISO 8601. */
    public val at: String,
    public val capacity: ImmutableList<CapacityRow>,
    /** Generations per minute that ended. */
    public val generationsPerMinute: Long,
    /** Part of the generations that went on at another target. */
    public val resumeRate: Double,
    /** Part of the attempts that were tried again before a first token. */
    public val retryRate: Double,
    public val refusals: ImmutableList<RefusalRow>,
    public val laggingHosts: ImmutableList<LaggingHostRow>,
    public val degradedTargets: ImmutableList<DegradedTargetRow>,
    /** Failure domains whose last summary is old. */
    public val silentDomains: ImmutableList<String>,
    public val warnings: ImmutableList<FleetWarning>,
)

/** Head-room of one model in one failure domain. */
public data class CapacityRow(
    public val model: String,
    public val domain: String,
    public val targets: Int,
    public val floorTargets: Int,
    /** Batch slots, each target's times its weight. */
    public val slots: Double,
    public val used: Double,
    /** Part of the slots that is free, from 0 to 1. */
    public val headRoom: Double,
    /** Change of the slots in an hour as a part of the present ones; negative when eroding. */
    public val trendPerHour: Double,
    /** Hours until the targets reach the floor, or null when they do not move towards it. */
    public val hoursToFloor: Double?,
    /** Hours until no slot is free, or null when slots and use do not move towards it. */
    public val hoursToFull: Double?,
)

/** Refusals of one kind. */
public data class RefusalRow(
    public val code: Int,
    public val name: String,
    public val perMinute: Long,
)

/** A host that lags behind the document. */
public data class LaggingHostRow(
    public val host: String,
    public val domain: String,
    public val sections: Int,
)

/** A target with less than its full weight. */
public data class DegradedTargetRow(
    public val target: String,
    public val domain: String,
    public val reason: String,
    public val weight: Double,
    public val probation: Boolean,
    /** ISO 8601. */
    public val since: String,
)

/** One thing that an operator should look at. */
public data class FleetWarning(
    public val kind: FleetWarningKind,
    /** Model, host, target or domain that it is about. */
    public val subject: String,
    public val text: String,
)

/** Kinds of warnings, each with an alert in docs/operators/fleet.md. */
public enum class FleetWarningKind {
    /** Fewer targets than the document's floor. */
    BELOW_FLOOR,

    /** The floor will be reached soon. */
    FLOOR_NEAR,

    /** No slot will be free soon. */
    FULL_NEAR,

    /** Little head-room now. */
    HEAD_ROOM_LOW,

    /** A failure domain sends no summaries. */
    DOMAIN_SILENT,

    /** Hosts have not applied the newest sections. */
    HOSTS_BEHIND,

    /** A target is worse than its pool. */
    TARGET_DECAYS,
}
