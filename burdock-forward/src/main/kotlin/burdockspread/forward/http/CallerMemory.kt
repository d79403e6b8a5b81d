/** Bound on the memory of what callers have sent. */
package burdockspread.forward.http

import burdockspread.buffer.BufferBudget

/**
 * Bounds the sum of what the host keeps of callers' requests: heads, bodies and requests that wait
 * behind a response. Confined to one event loop.
 *
 * When it is used up, requests that have not arrived completely are refused to make room, the one
 * first that has not grown for longest: nothing of it has run, and a caller that stops short of its
 * end would keep the memory until its time is up. What is complete stays. A request of usual size
 * is kept whatever the others do.
 *
 * @param capacity bytes that all connections together may keep beyond their free share.
 */
internal class CallerMemory(capacity: Int) {
    private val budget = BufferBudget(capacity, FREE_BYTES)

    /** Connections with an incomplete request, in the order of their last growth. */
    private val incomplete = LinkedHashSet<CallerAccount>()

    /** Bytes that are kept beyond the free shares. */
    val drawnBytes: Int get() = budget.drawnBytes

    /** Returns the account of a connection, whose incomplete request [refuse] ends. */
    fun open(refuse: () -> Unit): CallerAccount = CallerAccount(refuse)

    inner class CallerAccount(private val refuse: () -> Unit) {
        private val kept = budget.open()

        /** Changes what is kept to [bytes]; returns false, with no change, if there is no room. */
        fun tryKeep(bytes: Int, isIncomplete: Boolean): Boolean {
            incomplete -= this
            var isKept = kept.tryKeep(bytes)
            while (!isKept && incomplete.isNotEmpty()) {
                val oldest = incomplete.first()
                incomplete -= oldest
                oldest.refuse()
                isKept = kept.tryKeep(bytes)
            }
            if (isKept && isIncomplete) incomplete += this
            return isKept
        }

        fun release() {
            incomplete -= this
            kept.release()
        }
    }

    companion object {
        /** More than a usual request takes. */
        const val FREE_BYTES = 8_192

        /** Memory of a header field beside its bytes, and of its copy in a request to a target. */
        const val FIELD_BYTES = 256

        /** Memory of a decoded message beside its bytes. */
        const val MESSAGE_BYTES = 256

        /** A quarter of the heap; the largest request of all deployments takes a third of that. */
        fun defaultCapacity(): Int =
            (Runtime.getRuntime().maxMemory() / HEAP_PARTS).coerceAtMost(MAX_CAPACITY).toInt()

        private const val HEAP_PARTS = 4
        private const val MAX_CAPACITY = 1_073_741_824L
    }
}
