/** Behaviour of the engine stand-in. */
package burdockspread.fakes.engine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Behaviour of an [EngineServer].
 *
 * @property slots generations that run at once.
 * @property tokenInterval time between tokens.
 * @property prefillPerChar time to read a character of the prompt that is not cached.
 * @property cacheBlocks prompt blocks kept in the prefix cache.
 * @property checksFencing whether an order with an old fencing token is refused.
 * @property salt makes the answers differ from those of engines with another salt.
 */
public data class EngineOptions(
    public val slots: Int = 8,
    public val tokenInterval: Duration = 20.milliseconds,
    public val prefillPerChar: Duration = Duration.ZERO,
    public val cacheBlocks: Int = 256,
    public val checksFencing: Boolean = true,
    public val salt: String = "",
)
