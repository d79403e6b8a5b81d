/** Bound on the memory of all bytes together that a host cannot pass on yet. */
package burdockspread.buffer

/**
 * Bounds the sum of what all connections of one event loop keep: heads, incomplete events and
 * responses that are buffered until they are complete. A bound on each of them alone would allow as
 * many times as much as there are connections. Not thread-safe.
 *
 * @param capacity bytes that all accounts together may keep beyond their free share.
 * @param freeBytes bytes that each account may keep whatever the others do, so that messages of
 *   usual size always pass.
 */
public class BufferBudget(private val capacity: Int, private val freeBytes: Int) {
    /** Bytes that the accounts keep beyond their free shares; may be read from any thread. */
    @Volatile
    public var drawnBytes: Int = 0
        private set

    /** Returns an account that keeps nothing yet. */
    public fun open(): BufferAccount = Account()

    private inner class Account : BufferAccount {
        private var drawn = 0

        override fun tryKeep(bytes: Int): Boolean {
            val wanted = (bytes - freeBytes).coerceAtLeast(0)
            if (wanted == drawn) return true
            val isExceeded = wanted > drawn && drawnBytes + wanted - drawn > capacity
            if (isExceeded) return false
            drawnBytes += wanted - drawn
            drawn = wanted
            return true
        }
    }
}

/** What one connection or request keeps of a [BufferBudget]. */
public interface BufferAccount {
    /** Changes what is kept to [bytes]; returns false, with no change, if the sum is too large. */
    public fun tryKeep(bytes: Int): Boolean

    /** Returns everything to the budget. */
    public fun release() {
        tryKeep(0)
    }
}
