/** Input and result of one choice of a target. */
package burdockspread.route

import burdockspread.id.OrganisationId
import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentSetOf
import kotlin.time.Duration
import kotlin.time.Instant

/** What routing needs to know about a request. */
public data class RouteRequest(
    /** Priority level of the document; lower levels run first. */
    public val priorityLevel: Int = 0,
    /** Number of tokens to work through before the first new one, as far as known. */
    public val promptTokens: Int = 0,
    /** Prefix hashes of the prompt. */
    public val blocks: PromptBlocks = PromptBlocks.EMPTY,
    /** Version that the target must have loaded; empty for any. */
    public val version: String = "",
    /** Adapter that the request uses; empty for none. */
    public val adapter: String = "",
    /** Targets that failed this request before; never chosen. */
    public val excludedTargets: ImmutableSet<TargetId> = persistentSetOf(),
    /** Time by which the first token is due, or null for none. */
    public val deadline: Instant? = null,
    /** Organisation that asks; its waiting requests do not push back those of others. */
    public val organisation: OrganisationId? = null,
)

/** Expected time to the first token, by its parts. */
public data class FirstTokenEstimate(
    /** Time in the target's queue. */
    public val queue: Duration,
    /** Time to work through the prompt. */
    public val prefill: Duration,
    /** Time to load an adapter first. */
    public val adapterLoad: Duration,
    /** Prompt tokens expected in the target's cache. */
    public val cachedTokens: Int,
) {
    /** Expected time from sending to the first token. */
    public val firstToken: Duration get() = queue + prefill + adapterLoad
}

/** A chosen target and what to expect of it. */
public data class Choice(public val target: TargetSpec, public val estimate: FirstTokenEstimate)
