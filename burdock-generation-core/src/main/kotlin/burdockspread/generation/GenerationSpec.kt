/** Specification of a generation and its recovery. */
package burdockspread.generation

import burdockspread.id.ModelId
import burdockspread.recovery.RecoveryPolicy
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Specifies a generation and its recovery.
 *
 * @property maxTokens maximum number of tokens of the whole answer.
 * @property firstTokenTimeout maximum wait for the first token of an attempt.
 */
public data class GenerationSpec(
    public val model: ModelId,
    public val maxTokens: Int,
    public val policy: RecoveryPolicy,
    public val firstTokenTimeout: Duration = 10.seconds,
)
