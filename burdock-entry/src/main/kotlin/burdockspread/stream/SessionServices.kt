/** Services shared by all sessions. */
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
    /** Returns the hosts that should currently hold copies of [request]. */
    fun holders(request: RequestKey): ImmutableList<HostId>

    /** Sends [batch] to [holder]; returns null if it does not respond. */
    suspend fun send(holder: HostId, batch: JournalBatch): AppendOutcome?
}

/** Dependencies of every [GenerationSession] of a host. */
internal class SessionServices(
    val scope: CoroutineScope,
    val time: TimeSource,
    val engines: EngineClient,
    val router: TargetRouter,
    val latencyTracker: TokenLatencyTracker,
    val listener: EntryListener,
    val copies: CopySender,
    val copyPolicy: CopyPolicy,
    val targets: TargetObserver,
)
