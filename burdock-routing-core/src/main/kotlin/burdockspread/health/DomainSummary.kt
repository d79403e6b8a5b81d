/** Summary that a failure domain publishes for the view of the whole fleet. */
package burdockspread.health

import burdockspread.error.ErrorCode
import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import burdockspread.id.ModelId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Instant

/** Summary of one failure domain over the last minute. */
public data class DomainSummary(
    public val domain: FailureDomainId,
    public val at: Instant,
    public val models: ImmutableList<ModelSummary> = persistentListOf(),
    /** Number of generations that ended. */
    public val generations: Long = 0,
    /** Number of times a generation was resumed at another target. */
    public val resumes: Long = 0,
    /** Number of attempts that were retried before a first token. */
    public val retries: Long = 0,
    public val refusals: ImmutableMap<ErrorCode, Long> = persistentMapOf(),
    public val laggingHosts: ImmutableList<LaggingHost> = persistentListOf(),
    public val degradedTargets: ImmutableList<DegradedTarget> = persistentListOf(),
)

/** Capacity of one model in one failure domain. */
public data class ModelSummary(
    public val model: ModelId,
    /** Number of live targets that accept requests. */
    public val targets: Int,
    /** Minimum number of targets according to the document. */
    public val floorTargets: Int,
    /** Sum of the batch slots of the live targets, each multiplied by its weight. */
    public val slots: Double,
    /** Slots in use, including queued requests. */
    public val used: Double,
)

/** A host that has not applied the latest [sections] sections. */
public data class LaggingHost(public val host: HostId, public val sections: Int)
