/** The queue from which a session takes its inputs. */
package burdockspread.stream

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import kotlin.time.Duration

/** Inputs of one session; a full queue holds its senders back. */
internal class InputQueue<T : Any>(capacity: Int) {
    private val channel = Channel<T>(capacity)

    /** Adds [input], waiting for room. */
    suspend fun send(input: T): Unit = channel.send(input)

    /** Adds [input] if there is room. */
    fun trySend(input: T) {
        channel.trySend(input)
    }

    /**
     * The next input, or null once [wait] is over; waits for ever when [wait] is null.
     *
     * A cancelled `receive` may lose an element that it has taken already, so the timeout is a
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

    /** Ends the queue: senders are cancelled. */
    fun close(): Unit = channel.cancel()
}
