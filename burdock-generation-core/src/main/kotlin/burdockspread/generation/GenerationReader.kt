/** One caller's place in the tokens of a generation. */
package burdockspread.generation

import kotlinx.collections.immutable.ImmutableList
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Reads [tokens] from an offset on. It holds no tokens itself, so a slow caller takes no memory.
 *
 * @property offset offset of the next token for this caller.
 */
public class GenerationReader(
    private val tokens: TokenLog,
    public var offset: Int,
    private var lastProgress: Instant,
) {
    /** The next at most [limit] tokens below [released]; empty when there are none. */
    public fun next(released: Int, limit: Int): ImmutableList<String> =
        tokens.slice(offset, (offset + limit).coerceAtMost(released).coerceAtLeast(offset))

    /** Notes that the caller took [count] tokens. */
    public fun advance(count: Int, now: Instant) {
        offset += count
        lastProgress = now
    }

    /** Whether tokens below [released] have waited for this caller longer than [writeTimeout]. */
    public fun isTooSlow(released: Int, writeTimeout: Duration, now: Instant): Boolean {
        if (offset >= released) {
            lastProgress = now
            return false
        }
        return now - lastProgress > writeTimeout
    }
}
