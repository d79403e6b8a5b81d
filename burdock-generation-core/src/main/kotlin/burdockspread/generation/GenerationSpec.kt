/** What a generation is to produce and how it recovers. */
package burdockspread.generation

import burdockspread.id.ModelId
import burdockspread.recovery.RecoveryPolicy
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What a generation is to produce and how it recovers.
 *
 * @property maxTokens largest number of tokens of the whole answer.
 * @property firstTokenTimeout longest wait for the first token of an attempt.
 */
public data class GenerationSpec(
    public val model: ModelId,
    public val maxTokens: Int,
    public val policy: RecoveryPolicy,
    public val firstTokenTimeout: Duration = 10.seconds,
)
