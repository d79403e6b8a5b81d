/** Client of the orders that engines take. */
package burdockspread.target.order

import kotlinx.collections.immutable.ImmutableMap

/**
 * One order as it is sent to an engine.
 *
 * @property fencingToken engines that check it refuse a lower one than they have seen.
 * @property desired what the engine is to serve afterwards, as JSON.
 */
public data class OrderCall(
    public val address: String,
    public val fencingToken: Long,
    public val desired: String,
)

/** Answer to an order. */
public sealed interface OrderAnswer {
    /** The engine carries it out. */
    public data object Accepted : OrderAnswer

    /** The engine has seen a higher fencing token. */
    public data object Fenced : OrderAnswer

    /** The engine refused or was never reached. */
    public data class Failed(public val detail: String) : OrderAnswer

    /** No answer came; the engine may carry the order out. */
    public data class Unknown(public val detail: String) : OrderAnswer
}

/**
 * What an engine serves.
 *
 * @property models versions by model.
 */
public data class EngineState(public val models: ImmutableMap<String, String>)

/** Sends orders and reads engines' states. */
public interface OrderClient {
    /** Sends [call] once. */
    public suspend fun send(call: OrderCall): OrderAnswer

    /** What the engine at [address] serves, or null when it does not answer. */
    public suspend fun state(address: String): EngineState?
}
