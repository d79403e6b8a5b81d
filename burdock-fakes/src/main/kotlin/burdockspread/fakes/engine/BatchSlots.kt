/** Batch slots of an engine, granted by priority. */
package burdockspread.fakes.engine

import kotlinx.coroutines.CompletableDeferred
import java.util.PriorityQueue

/** Semaphore with [slots] permits; waiters are served lowest priority number first, then FIFO. */
public class BatchSlots(private val slots: Int) {
    private class Waiter(val priority: Int, val order: Long, val permit: CompletableDeferred<Unit>)

    private val waiters = PriorityQueue<Waiter>(compareBy({ it.priority }, { it.order }))
    private var inUse = 0
    private var nextOrder = 0L

    /** Number of running generations. */
    public val running: Int get() = synchronized(waiters) { inUse }

    /** Number of queued generations. */
    public val waiting: Int get() = synchronized(waiters) { waiters.size }

    /** Runs [block] while holding a slot. */
    public suspend fun <R> withSlot(priority: Int, block: suspend () -> R): R {
        acquire(priority)
        try {
            return block()
        } finally {
            release()
        }
    }

    private suspend fun acquire(priority: Int) {
        val waiter =
            synchronized(waiters) {
                if (inUse < slots) {
                    inUse++
                    return
                }
                Waiter(priority, nextOrder++, CompletableDeferred()).also { waiters += it }
            }
        try {
            waiter.permit.await()
        } catch (e: kotlinx.coroutines.CancellationException) {
            val stillWaiting = synchronized(waiters) { waiters.remove(waiter) }
            if (!stillWaiting) release()
            throw e
        }
    }

    private fun release() {
        val nextWaiter = synchronized(waiters) { waiters.poll().also { if (it == null) inUse-- } }
        nextWaiter?.permit?.complete(Unit)
    }
}
