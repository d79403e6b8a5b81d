/** Input queue of a session. */
package burdockspread.stream

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import kotlin.time.Duration

/** Bounded queue for the inputs of a session, with backpressure to its senders. */
internal class InputQueue<T : Any>(capacity: Int) {
    private val channel = Channel<T>(capacity)

    /** Adds [input]; suspends while the queue is full. */
    suspend fun send(input: T): Unit = channel.send(input)

    /** Adds [input] unless the queue is full. */
    fun trySend(input: T) {
        channel.trySend(input)
    }

    /**
     * Returns the next input, or null after [wait]; a null [wait] means no timeout.
     *
     * A cancelled `receive` may lose an element that it has already taken, so the timeout is a
     * clause of the same select.
     */
    @OptIn(ExperimentalCoroutinesApi::class)
    suspend fun next(wait: Duration?): T? {
        if (wait == null) return channel.receive()
        if (wait <= Duration.ZERO) return channel.tryReceive().getOrNull()
        return select {
            channel.onReceive { it }
            onTimeout(wait) { null }
        }
    }

    /** Closes the queue and cancels suspended senders. */
    fun close(): Unit = channel.cancel()
}
