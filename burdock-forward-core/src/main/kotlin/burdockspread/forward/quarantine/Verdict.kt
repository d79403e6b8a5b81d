/** Decisions to refuse prompts. */
package burdockspread.forward.quarantine

import burdockspread.id.HostId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.PersistentSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

/** Identifies a verdict among all hosts: the host that decided and its number there. */
public data class VerdictId(public val host: HostId, public val number: Long) {
    override fun toString(): String = "$host-${number.toULong().toString(RADIX)}"

    private companion object {
        const val RADIX = 16
    }
}

/**
 * The refusal of prompts that contain all of [suspects].
 *
 * Two prompts that crashed targets may have several parts in common of which only one is at fault.
 * Parts are acquitted one by one, and a verdict without suspects is void. Nothing else about a
 * verdict changes except its term, so that copies on several hosts can be merged in any order.
 *
 * @property parts the parts that all prompts that crashed targets had in common.
 * @property acquitted parts with which a response went on, or all of them if operators lifted it.
 * @property suspectedSince responses that went on before say nothing about this verdict.
 * @property until when the deciding host may let one request through to see if the fault persists.
 * @property term from the decision until [until]; grows with each failed trial.
 * @property evidence one line for each crash.
 */
public data class Verdict(
    public val id: VerdictId,
    public val parts: ImmutableSet<Long>,
    public val acquitted: PersistentSet<Long>,
    public val suspectedSince: Instant,
    public val until: Instant,
    public val term: Duration,
    public val evidence: ImmutableList<String>,
) {
    /** The parts that may be at fault; prompts that contain all of them are refused. */
    public val suspects: Set<Long> get() = parts - acquitted

    public val isVoid: Boolean get() = acquitted.containsAll(parts)

    /** When the verdict ends if its deciding host is gone or gets no request for a trial. */
    public val expiresAt: Instant get() = until + maxOf(term, MIN_TRIAL_TIME)

    /** Returns whether a prompt with [prompt] is refused. */
    public fun applies(prompt: Set<Long>): Boolean = !isVoid && prompt.containsAll(suspects)

    /** Whether prompts are refused by this verdict at all. */
    public fun isInForce(now: Instant): Boolean = !isVoid && now < expiresAt

    /** Returns this verdict with all of its parts acquitted. */
    public fun lifted(): Verdict = copy(acquitted = acquitted.addAll(parts))

    /** Returns this verdict with what [other], a copy from another host, knows beyond it. */
    public fun merge(other: Verdict): Verdict {
        val extended = if (other.term > term) other else this
        return extended.copy(acquitted = acquitted.addAll(other.acquitted))
    }

    private companion object {
        /** Time for a request to come to the deciding host, which gets a small part of them. */
        val MIN_TRIAL_TIME: Duration = 15.minutes
    }
}
