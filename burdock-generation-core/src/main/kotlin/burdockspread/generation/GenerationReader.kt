/** Position of one caller in the tokens of a generation. */
package burdockspread.generation

import kotlinx.collections.immutable.ImmutableList
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Reads [tokens] from an offset. It buffers no tokens itself, so a slow caller takes no memory.
 *
 * @property offset offset of the next token for this caller.
 */
public class GenerationReader(
    private val tokens: TokenLog,
    public var offset: Int,
    private var lastProgress: Instant,
) {
    /** Returns at most [limit] next tokens below [released]; empty when there are none. */
    public fun next(released: Int, limit: Int): ImmutableList<String> =
        tokens.slice(offset, (offset + limit).coerceAtMost(released).coerceAtLeast(offset))

    /** Records that the caller consumed [count] tokens. */
    public fun advance(count: Int, now: Instant) {
        offset += count
        lastProgress = now
    }

    /**
     * Whether tokens below [released] have been waiting for this caller longer than [writeTimeout].
     */
    public fun isTooSlow(released: Int, writeTimeout: Duration, now: Instant): Boolean {
        if (offset >= released) {
            lastProgress = now
            return false
        }
        return now - lastProgress > writeTimeout
    }
}
