/** Replication of journal batches to other entry hosts. */
package burdockspread.peer

import burdockspread.id.HostId
import burdockspread.journal.AppendOutcome
import burdockspread.journal.JournalBatch
import burdockspread.journal.RequestKey
import burdockspread.stream.CopySender
import kotlinx.collections.immutable.ImmutableList
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds

/**
 * Sends batches to the [copies] hosts that the directory selects.
 *
 * Batches of several generations for the same host share a call if they arrive within [LINGER] of
 * each other or while the previous call is in flight.
 */
internal class PeerCopySender(
    private val scope: CoroutineScope,
    private val directory: PeerDirectory,
    private val client: JournalClient,
    private val copies: Int,
) : CopySender {
    private class Pending(
        val batch: JournalBatch,
        val outcome: CompletableDeferred<AppendOutcome?> = CompletableDeferred(),
    )

    private val queues = ConcurrentHashMap<HostId, Channel<Pending>>()

    override fun holders(request: RequestKey): ImmutableList<HostId> =
        directory.holders(request, copies)

    override suspend fun send(holder: HostId, batch: JournalBatch): AppendOutcome? {
        val pending = Pending(batch)
        queues.computeIfAbsent(holder, ::startQueue).send(pending)
        return pending.outcome.await()
    }

    private fun startQueue(holder: HostId): Channel<Pending> {
        val queue = Channel<Pending>(QUEUE_CAPACITY)
        scope.launch {
            for (first in queue) {
                delay(LINGER)
                deliver(holder, listOf(first) + takePending(queue))
            }
        }
        return queue
    }

    private fun takePending(queue: Channel<Pending>): List<Pending> =
        generateSequence { queue.tryReceive().getOrNull() }.take(MAX_BATCHES).toList()

    private suspend fun deliver(holder: HostId, pending: List<Pending>) {
        val outcomes = client.append(holder, pending.map { it.batch })
        pending.forEachIndexed { i, each -> each.outcome.complete(outcomes?.getOrNull(i)) }
    }

    private companion object {
        const val QUEUE_CAPACITY = 256
        const val MAX_BATCHES = 255
        val LINGER = 5.milliseconds
    }
}
