/** The slots of a batching engine, given out by priority. */
package burdockspread.fakes.engine

import kotlinx.coroutines.CompletableDeferred
import java.util.PriorityQueue

/** Lets [slots] generations run at once; the others wait, lowest priority number first. */
public class BatchSlots(private val slots: Int) {
    private class Waiter(val priority: Int, val order: Long, val turn: CompletableDeferred<Unit>)

    private val waiters = PriorityQueue<Waiter>(compareBy({ it.priority }, { it.order }))
    private var taken = 0
    private var arrivals = 0L

    /** Number of generations that run now. */
    public val running: Int get() = synchronized(waiters) { taken }

    /** Number of generations that wait. */
    public val waiting: Int get() = synchronized(waiters) { waiters.size }

    /** Runs [block] in a slot. */
    public suspend fun <R> use(priority: Int, block: suspend () -> R): R {
        enter(priority)
        try {
            return block()
        } finally {
            leave()
        }
    }

    private suspend fun enter(priority: Int) {
        val waiter =
            synchronized(waiters) {
                if (taken < slots) {
                    taken++
                    return
                }
                Waiter(priority, arrivals++, CompletableDeferred()).also { waiters += it }
            }
        try {
            waiter.turn.await()
        } catch (e: kotlinx.coroutines.CancellationException) {
            val stillWaiting = synchronized(waiters) { waiters.remove(waiter) }
            if (!stillWaiting) leave()
            throw e
        }
    }

    private fun leave() {
        val next = synchronized(waiters) { waiters.poll().also { if (it == null) taken-- } }
        next?.turn?.complete(Unit)
    }
}
