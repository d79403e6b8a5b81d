/** Priorities as the document describes them. */
package burdockspread.document

import burdockspread.recovery.RecoveryPolicy
import kotlin.time.Duration

/** Name of a priority. */
@JvmInline
public value class PriorityName(public val value: String) {
    override fun toString(): String = value
}

/**
 * One priority.
 *
 * @property level lower levels run first.
 * @property firstTokenDeadline longest time from arrival to the first token.
 */
public data class Priority(
    public val name: PriorityName,
    public val level: Int,
    public val firstTokenDeadline: Duration,
    public val recovery: RecoveryPolicy,
)
