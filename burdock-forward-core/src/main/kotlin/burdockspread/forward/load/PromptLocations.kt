/** Which targets have read which prompts. */
package burdockspread.forward.load

import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.toImmutableMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Remembers where this host and its peers have sent prompts. A caller whose connection broke comes
 * back to another host with the same prompt; the target that has read it need not read it again.
 *
 * Not thread-safe and does no I/O.
 */
public class PromptLocations {
    private val locations = LinkedHashMap<Long, PromptLocation>()
    private val sent = LinkedHashMap<Long, PromptLocation>()

    /** Records that this host has sent [prompt] to [target]. */
    public fun onSent(prompt: Long, target: TargetId, now: Instant) {
        sent.putLast(prompt, PromptLocation(target, now))
        record(prompt, target, now)
    }

    /** Records that a peer has sent [prompt] to [target]; it may repeat this for a while. */
    public fun onPeerSent(prompt: Long, target: TargetId, now: Instant) {
        if (locations[prompt]?.target != target) record(prompt, target, now)
    }

    /** Returns where [prompt] was last read, or null if that is unknown or too long ago. */
    public fun find(prompt: Long, now: Instant): PromptLocation? =
        locations[prompt]?.takeIf { now - it.at <= CACHE_TIME }

    /** Returns the prompts that this host has sent recently, to be reported to peers. */
    public fun recentlySent(now: Instant): ImmutableMap<Long, TargetId> {
        sent.values.removeIf { now - it.at > REPORT_TIME }
        return sent.mapValues { it.value.target }.toImmutableMap()
    }

    private fun record(prompt: Long, target: TargetId, now: Instant) {
        locations.putLast(prompt, PromptLocation(target, now))
        if (locations.size > MAX_PROMPTS) locations.remove(locations.keys.first())
    }

    private fun LinkedHashMap<Long, PromptLocation>.putLast(prompt: Long, at: PromptLocation) {
        remove(prompt)
        put(prompt, at)
    }

    private companion object {
        /** A generation runs for about this long, and its caller comes back at once. */
        val CACHE_TIME: Duration = 20.seconds

        /** Long enough for each prompt to be in several reports, some of which may be lost. */
        val REPORT_TIME: Duration = 5.seconds
        const val MAX_PROMPTS = 4_096
    }
}

/**
 * The last target of a prompt.
 *
 * @property at when this host learned of it.
 */
public data class PromptLocation(public val target: TargetId, public val at: Instant)
