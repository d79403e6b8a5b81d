/** Client interface for the order API of engines. */
package burdockspread.target.order

import kotlinx.collections.immutable.ImmutableMap

/**
 * Order to an engine.
 *
 * @property fencingToken token that engines with fencing reject if they have seen a higher one.
 * @property desired state that the engine should serve afterwards, as JSON.
 */
public data class OrderCall(
    public val address: String,
    public val fencingToken: Long,
    public val desired: String,
)

/** Result of [OrderClient.send]. */
public sealed interface OrderOutcome {
    /** The engine accepted the order. */
    public data object Accepted : OrderOutcome

    /** The engine rejected the order because it has seen a higher fencing token. */
    public data object Fenced : OrderOutcome

    /** The engine rejected the order or was unreachable. */
    public data class Failed(public val detail: String) : OrderOutcome

    /** The response was lost; the engine may carry the order out. */
    public data class Unknown(public val detail: String) : OrderOutcome
}

/**
 * Current state of an engine.
 *
 * @property models model versions by model.
 */
public data class EngineState(public val models: ImmutableMap<String, String>)

/** Sends orders to engines and reads their state. */
public interface OrderClient {
    /** Sends [call] once. */
    public suspend fun send(call: OrderCall): OrderOutcome

    /** Reads the state of the engine at [address], or returns null if it does not respond. */
    public suspend fun state(address: String): EngineState?
}
