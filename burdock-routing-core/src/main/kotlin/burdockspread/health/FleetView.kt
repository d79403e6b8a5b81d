/** Health of the fleet in a form suited to JSON and tables. */
package burdockspread.health

import kotlinx.collections.immutable.ImmutableList

/** Snapshot of the health of the fleet, with only names, numbers and ISO 8601 times. */
public data class FleetView(
    /** ISO 8601. */
    public val at: String,
    public val capacity: ImmutableList<CapacityRow>,
    /** Number of generations that ended per minute. */
    public val generationsPerMinute: Long,
    /** Resumes at another target as a fraction of the generations. */
    public val resumeRate: Double,
    /** Retries before a first token as a fraction of the generations. */
    public val retryRate: Double,
    public val refusals: ImmutableList<RefusalRow>,
    public val laggingHosts: ImmutableList<LaggingHostRow>,
    public val degradedTargets: ImmutableList<DegradedTargetRow>,
    /** Failure domains that have not sent a summary recently. */
    public val silentDomains: ImmutableList<String>,
    public val warnings: ImmutableList<FleetWarning>,
)

/** Capacity and headroom of one model in one failure domain. */
public data class CapacityRow(
    public val model: String,
    public val domain: String,
    public val targets: Int,
    public val floorTargets: Int,
    /** Sum of the batch slots, each multiplied by the weight of its target. */
    public val slots: Double,
    public val used: Double,
    /** Fraction of the slots that is free, from 0 to 1. */
    public val headRoom: Double,
    /** Change of the slots per hour as a fraction of the current ones; negative for a loss. */
    public val trendPerHour: Double,
    /** Hours until the number of targets reaches the floor, or null without such a trend. */
    public val hoursToFloor: Double?,
    /** Hours until no slot is free, or null without such a trend. */
    public val hoursToFull: Double?,
)

/** Refusals with one error code. */
public data class RefusalRow(
    public val code: Int,
    public val name: String,
    public val perMinute: Long,
)

/** A host that has not applied the latest sections of the document. */
public data class LaggingHostRow(
    public val host: String,
    public val domain: String,
    public val sections: Int,
)

/** A degraded target. */
public data class DegradedTargetRow(
    public val target: String,
    public val domain: String,
    public val reason: String,
    public val weight: Double,
    public val probation: Boolean,
    /** ISO 8601. */
    public val since: String,
)

/** A condition that needs the attention of an operator. */
public data class FleetWarning(
    public val kind: FleetWarningKind,
    /** Model, host, target or domain that the warning is about. */
    public val subject: String,
    public val text: String,
)

/** Kinds of warnings, each with an alert in docs/operators/fleet.md. */
public enum class FleetWarningKind {
    /** There are fewer targets than the document's floor. */
    BELOW_FLOOR,

    /** The floor will be reached soon. */
    FLOOR_NEAR,

    /** No slot will be free soon. */
    FULL_NEAR,

    /** There is little headroom now. */
    HEAD_ROOM_LOW,

    /** A failure domain has stopped sending summaries. */
    DOMAIN_SILENT,

    /** A host has not applied the latest sections. */
    HOSTS_BEHIND,

    /** A target performs worse than its pool. */
    TARGET_DECAYS,
}
