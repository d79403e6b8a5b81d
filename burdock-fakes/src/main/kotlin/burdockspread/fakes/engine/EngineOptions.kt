/** Options of the fake engine. */
package burdockspread.fakes.engine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Options of an [EngineServer].
 *
 * @property slots maximum number of concurrent generations.
 * @property tokenInterval time between tokens.
 * @property prefillPerChar prefill time for each uncached character of the prompt.
 * @property cacheBlocks capacity of the prefix cache in prompt blocks.
 * @property checksFencing whether an order with a stale fencing token is rejected.
 * @property salt seed of the generated text; engines with different salts give different text.
 */
public data class EngineOptions(
    public val slots: Int = 8,
    public val tokenInterval: Duration = 20.milliseconds,
    public val prefillPerChar: Duration = Duration.ZERO,
    public val cacheBlocks: Int = 256,
    public val checksFencing: Boolean = true,
    public val salt: String = "",
)
