/** Request priorities in the document. */
package burdockspread.document

import burdockspread.recovery.RecoveryPolicy
import kotlin.time.Duration

/** Name of a priority. */
@JvmInline
public value class PriorityName(public val value: String) {
    override fun toString(): String = value
}

/**
 * A request priority.
 *
 * @property level scheduling order; lower levels run first.
 * @property firstTokenDeadline maximum time from the arrival of the request to the first token.
 */
public data class Priority(
    public val name: PriorityName,
    public val level: Int,
    public val firstTokenDeadline: Duration,
    public val recovery: RecoveryPolicy,
)
