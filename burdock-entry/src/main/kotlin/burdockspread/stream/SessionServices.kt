/** What sessions share. */
package burdockspread.stream

import burdockspread.generation.TokenTimes
import burdockspread.observe.EntryListener
import burdockspread.pool.TargetRouter
import burdockspread.target.engine.EngineClient
import burdockspread.time.TimeSource
import kotlinx.coroutines.CoroutineScope

/** Services that every [GenerationSession] of a host uses. */
internal class SessionServices(
    val scope: CoroutineScope,
    val time: TimeSource,
    val engines: EngineClient,
    val router: TargetRouter,
    val tokenTimes: TokenTimes,
    val listener: EntryListener,
)
