/** Client of model engines. */
package burdockspread.target.engine

import kotlinx.coroutines.flow.Flow

/** Sends attempts to engines. Cancelling the collection cancels the attempt at the engine. */
public fun interface EngineClient {
    /** Sends [call] and emits what the engine says; ends after a `Finished` or `Failed`. */
    public fun generate(call: EngineCall): Flow<EngineEvent>
}
