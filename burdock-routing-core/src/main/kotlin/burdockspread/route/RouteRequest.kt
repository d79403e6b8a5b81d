/** Input and result of target selection. */
package burdockspread.route

import burdockspread.id.OrganisationId
import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentSetOf
import kotlin.time.Duration
import kotlin.time.Instant

/** Properties of a request that routing depends on. */
public data class RouteRequest(
    /** Priority level from the document; lower levels run first. */
    public val priorityLevel: Int = 0,
    /** Number of tokens to prefill before the first new token, as far as known. */
    public val promptTokens: Int = 0,
    /** Prefix hashes of the prompt. */
    public val blocks: PromptBlocks = PromptBlocks.EMPTY,
    /** Model version that the target must have loaded; empty for any. */
    public val version: String = "",
    /** Adapter that the request uses; empty for none. */
    public val adapter: String = "",
    /** Targets that already failed this request; they are never chosen. */
    public val excludedTargets: ImmutableSet<TargetId> = persistentSetOf(),
    /** Time by which the first token is due, or null for no deadline. */
    public val deadline: Instant? = null,
    /** Organisation of the caller; its queued requests do not delay those of others. */
    public val organisation: OrganisationId? = null,
)

/** Expected time to the first token, by component. */
public data class FirstTokenEstimate(
    /** Waiting time in the target's queue. */
    public val queue: Duration,
    /** Time to prefill the prompt. */
    public val prefill: Duration,
    /** Time to load the request's adapter. */
    public val adapterLoad: Duration,
    /** Number of prompt tokens expected in the target's cache. */
    public val cachedTokens: Int,
) {
    /** Expected time from sending to the first token. */
    public val firstToken: Duration get() = queue + prefill + adapterLoad
}

/** A chosen target and the estimate for it. */
public data class Choice(public val target: TargetSpec, public val estimate: FirstTokenEstimate)
