/** Evidence against parts of prompts. */
package burdockspread.forward.quarantine

import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * A target that stopped before it had responded to a prompt, or as soon as it began to.
 *
 * @property request the caller's id of the request.
 * @property parts the parts of its prompt that other requests may share.
 * @property startedAtMillis start of the target's incarnation in Unix milliseconds, or 0.
 * @property hasBegun whether the response had begun, which few other requests had at that moment.
 * @property exposedAt when the response began, or else when the request was sent.
 * @property brokenAt when its connection broke.
 */
public data class CrashRecord(
    public val request: String,
    public val parts: ImmutableSet<Long>,
    public val target: TargetId,
    public val startedAtMillis: Long,
    public val hasBegun: Boolean,
    public val exposedAt: Instant,
    public val brokenAt: Instant,
) {
    /** Whether [other] tells of the same attempt; each host has its own instants for it. */
    public fun isSameAttempt(other: CrashRecord): Boolean =
        request == other.request && isSameIncarnation(other)

    /** Whether both records are about the same incarnation of a target, which stops once. */
    public fun isSameIncarnation(other: CrashRecord): Boolean =
        target == other.target && startedAtMillis == other.startedAtMillis
}

/**
 * Returns the records of [crashes] that have no common cause: one event, such as the loss of a
 * failure domain, stops several targets at one instant. Each record that is counted began after
 * the one before it had broken, at another target.
 */
internal fun independent(crashes: List<CrashRecord>): List<CrashRecord> {
    val counted = ArrayList<CrashRecord>()
    crashes.sortedBy { it.brokenAt }.forEach { crash ->
        val last = counted.lastOrNull()
        val isLater = last == null || crash.exposedAt >= last.brokenAt
        if (isLater && counted.none { it.isSameIncarnation(crash) }) counted += crash
    }
    return counted
}

/** What accuses a prompt when its target stops, and what acquits it. */
public object CrashWindow {
    /**
     * Time from the beginning of a response within which a broken connection accuses its prompt,
     * and after which a response that goes on acquits it. A target that a prompt crashes stops
     * with its first tokens; what breaks later is a victim.
     */
    public val LENGTH: Duration = 500.milliseconds

    /** Events of a response from which on its prompt is not accused. */
    public const val ACCUSED_EVENTS: Int = 3

    /** Events of a response that went on; a paused host may read the first ones late. */
    public const val ACQUITTED_EVENTS: Int = 10

    /** Crashes on which a request is given up if its response had begun each time. */
    public const val MAX_BEGUN: Int = 2

    /** Crashes on which a request is given up in any case. */
    public const val MAX_CRASHES: Int = 3

    /** Returns whether a broken response accuses its prompt; [begunAt] is null if none began. */
    public fun accuses(begunAt: Instant?, events: Int, brokenAt: Instant): Boolean =
        begunAt == null || (brokenAt - begunAt < LENGTH && events < ACCUSED_EVENTS)

    /** Returns whether a response in progress has gone on for long enough to acquit its prompt. */
    public fun acquits(begunAt: Instant, events: Int, now: Instant): Boolean =
        now - begunAt >= LENGTH && events >= ACQUITTED_EVENTS

    /** Returns whether so many independent crashes have a prompt as their cause. */
    public fun isConspicuous(crashes: List<CrashRecord>): Boolean =
        crashes.size >= MAX_CRASHES || crashes.count { it.hasBegun } >= MAX_BEGUN
}
