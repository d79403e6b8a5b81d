/** Sends journal batches to other entry hosts. */
package burdockspread.peer

import burdockspread.id.HostId
import burdockspread.journal.AppendOutcome
import burdockspread.journal.JournalBatch
import burdockspread.journal.RequestKey
import burdockspread.stream.CopySender
import kotlinx.collections.immutable.ImmutableList

/** Chooses [copies] holders by the directory and reaches them by [client]. */
internal class PeerCopySender(
    private val directory: PeerDirectory,
    private val client: JournalClient,
    private val copies: Int,
) : CopySender {
    override fun holders(request: RequestKey): ImmutableList<HostId> =
        directory.holders(request, copies)

    override suspend fun send(holder: HostId, batch: JournalBatch): AppendOutcome? =
        client.append(holder, batch)
}
