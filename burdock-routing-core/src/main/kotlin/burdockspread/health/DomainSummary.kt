/** What a failure domain tells about itself, for the view of the whole fleet. */
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
    /** Generations that ended. */
    public val generations: Long = 0,
    /** Generations that went on at another target. */
    public val resumes: Long = 0,
    /** Attempts that were tried again before a first token. */
    public val retries: Long = 0,
    public val refusals: ImmutableMap<ErrorCode, Long> = persistentMapOf(),
    public val laggingHosts: ImmutableList<LaggingHost> = persistentListOf(),
    public val degradedTargets: ImmutableList<DegradedTarget> = persistentListOf(),
)

/** One model in one failure domain. */
public data class ModelSummary(
    public val model: ModelId,
    /** Live targets that take work. */
    public val targets: Int,
    /** Smallest number of targets that the document asks for. */
    public val floorTargets: Int,
    /** Batch slots of the live targets, each times its weight. */
    public val slots: Double,
    /** Slots in use, queued requests included. */
    public val used: Double,
)

/** A host that has not applied the newest sections. */
public data class LaggingHost(public val host: HostId, public val sections: Int)
