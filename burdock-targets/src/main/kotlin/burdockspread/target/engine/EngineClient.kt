/** Client interface for model engines. */
package burdockspread.target.engine

import kotlinx.coroutines.flow.Flow

/** Sends attempts to engines. Cancelling the collection cancels the attempt at the engine. */
public fun interface EngineClient {
    /** Sends [call] and emits the engine's events, `Finished` or `Failed` as the last one. */
    public fun generate(call: EngineCall): Flow<EngineEvent>
}
