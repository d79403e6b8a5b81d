/** What sessions share. */
package burdockspread.stream

import burdockspread.generation.TokenLatencyTracker
import burdockspread.id.HostId
import burdockspread.journal.AppendOutcome
import burdockspread.journal.CopyPolicy
import burdockspread.journal.JournalBatch
import burdockspread.journal.RequestKey
import burdockspread.observe.EntryListener
import burdockspread.pool.TargetObserver
import burdockspread.pool.TargetRouter
import burdockspread.target.engine.EngineClient
import burdockspread.time.TimeSource
import kotlinx.collections.immutable.ImmutableList
import kotlinx.coroutines.CoroutineScope

/** Sends journal batches to the hosts that hold copies. */
internal interface CopySender {
    /** Hosts that are to hold copies of [request] now. */
    fun holders(request: RequestKey): ImmutableList<HostId>

    /** Sends [batch] to [holder]; null when it did not answer. */
    suspend fun send(holder: HostId, batch: JournalBatch): AppendOutcome?
}

/** Services that every [GenerationSession] of a host uses. */
internal class SessionServices(
    val scope: CoroutineScope,
    val time: TimeSource,
    val engines: EngineClient,
    val router: TargetRouter,
    val tokenTimes: TokenLatencyTracker,
    val listener: EntryListener,
    val copies: CopySender,
    val copyPolicy: CopyPolicy,
    val targets: TargetObserver,
)
